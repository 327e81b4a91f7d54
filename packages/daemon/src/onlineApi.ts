import { type BodyMemory, monotonicMs } from "@heatherline/common";
import { newExchange, type Pipeline, Refusal } from "@heatherline/serving";
import { err, ok, type Result } from "neverthrow";
import type http from "node:http";
import { readBody, sendRefusal } from "./http";
import { HttpSink } from "./httpSink";

const TIMEOUT_HEADER = "x-timeout-ms";
const DEADLINE_HEADER = "x-deadline";
const MAX_TIMEOUT_MS = 3_600_000;
const DEFAULT_TIMEOUT_MS = 60_000;

/** What bounds online requests. */
export interface OnlineLimits {
    /** Size limit of a body, in bytes. */
    readonly maxBodyBytes: number;
    /** Memory for all bodies. */
    readonly bodyMemory: BodyMemory;
    /** @returns Time until open requests are cut, in milliseconds; infinite before a shutdown. */
    readonly getDrainLeftMs: () => number;
}

/**
 * Serves one online request: reads it, runs it through the pipeline, and responds with the refusal if there is one.
 *
 * @param request - The caller's request.
 * @param response - The response to the caller.
 * @param requestId - Id of the request.
 * @param pipeline - The pipeline for online requests.
 * @param limits - What bounds online requests.
 * @returns The refusal, if the request was refused before it reached the pipeline.
 */
export async function serveOnline(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    requestId: string,
    pipeline: Pipeline,
    { maxBodyBytes, bodyMemory, getDrainLeftMs }: OnlineLimits,
): Promise<Refusal | undefined> {
    const timeoutMs = readTimeoutMs(request.headers);
    if (timeoutMs.isErr()) {
        sendRefusal(response, timeoutMs.error, requestId);
        return timeoutMs.error;
    }
    const abortController = new AbortController();
    const deadlineTimer = setTimeout(() => abortController.abort("deadline"), timeoutMs.value);
    response.on("close", () => {
        clearTimeout(deadlineTimer);
        if (!response.writableFinished) {
            abortController.abort("caller-gone");
        }
    });
    const deadlineAtMs = monotonicMs() + timeoutMs.value;
    const body = await readBody(request, maxBodyBytes, bodyMemory, response);
    if (body.isErr()) {
        sendRefusal(response, body.error, requestId);
        return body.error;
    }
    if (deadlineAtMs - monotonicMs() > getDrainLeftMs()) {
        const message = "the instance shuts down before the request's deadline";
        const refusal = new Refusal("shutting-down", 503, message, true, 0);
        sendRefusal(response, refusal, requestId);
        return refusal;
    }
    const sink = new HttpSink(response);
    const outcome = await pipeline(newExchange({
        requestId,
        workClass: "online",
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: request.headers,
        body: body.value,
        sink,
        abortController,
        deadlineAtMs,
    }));
    if (outcome.isOk()) {
        return undefined;
    }
    if (sink.hasBegun) {
        // It is too late for an error status. Closing the connection shows the caller that the response is incomplete.
        sink.abort();
        return undefined;
    }
    sendRefusal(response, outcome.error, requestId);
    return undefined;
}

/**
 * Reads the deadline of a request from `X-Timeout-Ms` or else `X-Deadline`.
 *
 * @param headers - Headers of a request.
 * @returns Time until the deadline in milliseconds, or a refusal if the deadline is invalid or has passed.
 */
export function readTimeoutMs(headers: http.IncomingHttpHeaders): Result<number, Refusal> {
    const timeout = headers[TIMEOUT_HEADER];
    const deadline = headers[DEADLINE_HEADER];
    if (timeout !== undefined) {
        const timeoutMs = Number(timeout);
        if (!Number.isFinite(timeoutMs) || timeoutMs > MAX_TIMEOUT_MS || String(timeout).trim() === "") {
            return err(new Refusal("bad-deadline", 400, `X-Timeout-Ms must be a number up to ${MAX_TIMEOUT_MS}`, true));
        }
        return checkTimeLeft(timeoutMs);
    }
    if (deadline !== undefined) {
        const deadlineUnixMs = Date.parse(String(deadline));
        if (Number.isNaN(deadlineUnixMs)) {
            return err(new Refusal("bad-deadline", 400, "X-Deadline must be a time in ISO 8601", true));
        }
        return checkTimeLeft(Math.min(deadlineUnixMs - Date.now(), MAX_TIMEOUT_MS));
    }
    return ok(DEFAULT_TIMEOUT_MS);
}

function checkTimeLeft(leftMs: number): Result<number, Refusal> {
    return leftMs > 0
        ? ok(leftMs)
        : err(new Refusal("deadline-passed", 504, "the deadline has already passed", true, 0));
}
