import type { HeldPlace } from "@heatherline/fleet";
import type { Result } from "neverthrow";
import type http from "node:http";
import type { Refusal } from "../callers/refusal";
import { readFullBody } from "../endpoints/bodyReader";
import type { EndpointResponse, SendFailure } from "../endpoints/endpointClient";
import { findWholeFault } from "./wholeResponse";

const STATUS_OK = 200;
const STATUS_MISDIRECTED = 421;

/**
 * What happened to a second attempt.
 *
 * - `refused`: no place was granted for it.
 * - `unused`: the first attempt ended while the place was awaited.
 * - `sent`: it was sent.
 * - `won`: its response is the one that the caller gets; the first attempt is cancelled.
 * - `cancelled`: the first attempt was faster, or the request ended.
 * - `failed`: it has ended without a usable response, and the first attempt goes on.
 * - `left`: the first attempt has ended without a usable response, and this one goes on.
 */
export type HedgeEvent = "refused" | "unused" | "sent" | "won" | "cancelled" | "failed" | "left";

/** One attempt at a request: a response that has begun to arrive, or why there is none. */
export interface Sent {
    readonly place: HeldPlace;
    readonly controller: AbortController;
    readonly startedAtMs: number;
    /** When the head of a whole response had arrived. */
    readonly headAtMs: number | undefined;
    /** When the first part of the stream or the whole response had arrived. */
    readonly endedAtMs: number;
    readonly result: Result<EndpointResponse, SendFailure>;
    /** Whether the body has been read, as it is no stream. */
    readonly isBodyRead: boolean;
    /** The body, if it has been read as a whole. */
    readonly body: Buffer | undefined;
}

/** What a {@link HedgedSend} needs to know of a request, and what it does. */
export interface HedgePlan {
    /** Time after which a second attempt is made; `undefined` for none. */
    readonly delayMs: number | undefined;
    readonly isStream: boolean;
    /** Aborted when the request is given up. */
    readonly signal: AbortSignal;
    /** Sends the request to the endpoint of a place. */
    readonly send: (place: HeldPlace, signal: AbortSignal) => Promise<Result<EndpointResponse, SendFailure>>;
    /** @returns Whether a second attempt may be made, by the configuration in force and the attempts so far. */
    readonly mayHedge: () => boolean;
    /** Requests a place for the second attempt. */
    readonly requestPlace: (signal: AbortSignal) => Promise<HeldPlace | Refusal>;
    /** Handles the end of an attempt without a usable response, while the other one goes on. */
    readonly onFailed: (sent: Sent) => Promise<void>;
    /** Told when the other attempt becomes the only one. */
    readonly onCurrent: (place: HeldPlace, controller: AbortController) => void;
    /** Told when the head of a whole response has arrived. */
    readonly onHead: () => void;
    /** Told how long an attempt took, or at least took when it was cancelled because the other one was faster. */
    readonly onObserved: (place: HeldPlace, tookMs: number) => void;
    readonly onEvent: (what: HedgeEvent, place: HeldPlace | undefined, cause?: string) => void;
}

/** An attempt that goes on. */
interface Attempt {
    readonly place: HeldPlace;
    readonly controller: AbortController;
    readonly startedAtMs: number;
    readonly done: Promise<Sent>;
}

/**
 * Sends a request, and a second time if the first attempt is slow. The first usable response wins; the other attempt is
 * cancelled and its place released at once, which says nothing about its endpoint.
 */
export class HedgedSend {
    private isSecondRunning = false;

    /**
     * @param plan - What it needs to know of the request.
     */
    constructor(private readonly plan: HedgePlan) {}

    /** Whether a second attempt goes on, or a place for it is awaited. */
    get isHedging(): boolean {
        return this.isSecondRunning;
    }

    /**
     * @param place - The place of the first attempt.
     * @param controller - Cancels the first attempt.
     * @returns The attempt whose response the caller may get. Its place is still held, and no other.
     */
    async run(place: HeldPlace, controller: AbortController): Promise<Sent> {
        const first = this.newAttempt(place, controller);
        if (await this.isSlow(first)) {
            // The response isn't held up by a place that is no longer needed.
            const starting = this.startSecond(first);
            const second = await Promise.race([first.done.then(() => undefined), starting]);
            if (second !== undefined) {
                return this.race(first, second);
            }
            void starting.then(late => this.dropLate(late));
        }
        return this.observe(await first.done);
    }

    private observe(sent: Sent): Sent {
        if (isUsable(sent, this.plan.isStream)) {
            this.plan.onObserved(sent.place, sent.endedAtMs - sent.startedAtMs);
        }
        return sent;
    }

    /** @returns Whether the delay has passed before the attempt has ended. */
    private async isSlow({ done }: Attempt): Promise<boolean> {
        const { delayMs } = this.plan;
        if (delayMs === undefined) {
            return false;
        }
        let timer: NodeJS.Timeout | undefined;
        const delay = new Promise<boolean>(resolve => {
            timer = setTimeout(() => resolve(true), delayMs);
        });
        const isSlow = await Promise.race([done.then(() => false), delay]);
        clearTimeout(timer);
        return isSlow && this.plan.mayHedge();
    }

    /** @returns The second attempt; `undefined` if there is none. */
    private async startSecond({ done, controller }: Attempt): Promise<Attempt | undefined> {
        const { plan } = this;
        this.isSecondRunning = true;
        const search = new AbortController();
        void done.then(() => search.abort());
        const place = await plan.requestPlace(search.signal);
        const isUnneeded = search.signal.aborted || controller.signal.aborted || plan.signal.aborted;
        if (!("endpoint" in place)) {
            this.isSecondRunning = false;
            plan.onEvent(isUnneeded ? "unused" : "refused", undefined, place.detail);
            return undefined;
        }
        if (isUnneeded || !plan.mayHedge()) {
            this.isSecondRunning = false;
            place.release("lost");
            plan.onEvent("unused", place);
            return undefined;
        }
        plan.onEvent("sent", place);
        return this.newAttempt(place, new AbortController());
    }

    private newAttempt(place: HeldPlace, controller: AbortController): Attempt {
        return { place, controller, startedAtMs: performance.now(), done: this.attempt(place, controller) };
    }

    private async race(first: Attempt, second: Attempt): Promise<Sent> {
        const { plan } = this;
        const onAbort = () => second.controller.abort("ended");
        plan.signal.addEventListener("abort", onAbort, { once: true });
        try {
            const ended = await Promise.race([first.done, second.done]);
            const isFirst = ended.place === first.place;
            const other = isFirst ? second : first;
            if (plan.signal.aborted || first.controller.signal.aborted) {
                // Given up as a whole, which the first attempt stands for.
                this.cancel(second);
                plan.onEvent("cancelled", second.place);
                return await first.done;
            }
            if (isUsable(ended, plan.isStream)) {
                this.cancel(other);
                plan.onEvent(isFirst ? "cancelled" : "won", second.place);
                if (!isFirst) {
                    plan.onObserved(first.place, ended.endedAtMs - first.startedAtMs);
                    plan.onCurrent(second.place, second.controller);
                }
                return this.observe(ended);
            }
            plan.onEvent(isFirst ? "left" : "failed", second.place);
            plan.onCurrent(other.place, other.controller);
            this.isSecondRunning = false;
            await plan.onFailed(ended);
            return this.observe(await other.done);
        }
        finally {
            plan.signal.removeEventListener("abort", onAbort);
            this.isSecondRunning = false;
        }
    }

    /** The second attempt may have begun in the moment in which the first one ended. */
    private dropLate(second: Attempt | undefined): void {
        if (second !== undefined) {
            this.cancel(second);
            this.isSecondRunning = false;
            this.plan.onEvent("cancelled", second.place);
        }
    }

    private cancel({ place, controller, done }: Attempt): void {
        controller.abort("hedged");
        place.release("lost");
        // The response may have arrived at the same time.
        void done.then(({ result }) => result.isOk() && result.value.incoming.destroy());
    }

    private async attempt(place: HeldPlace, controller: AbortController): Promise<Sent> {
        const startedAtMs = performance.now();
        const result = await this.plan.send(place, controller.signal);
        const isWhole = result.isOk() && !isStreamResponse(result.value, this.plan.isStream);
        const isBodyRead = isWhole && !isNotExecuted(result.value);
        const headAtMs = isBodyRead ? performance.now() : undefined;
        let body: Buffer | undefined;
        if (result.isOk() && isBodyRead) {
            this.plan.onHead();
            body = await readFullBody(result.value);
        }
        else if (result.isOk() && !isWhole) {
            await waitForData(result.value.incoming);
        }
        return { place, controller, startedAtMs, headAtMs, endedAtMs: performance.now(), result, isBodyRead, body };
    }
}

function isStreamResponse({ status }: EndpointResponse, isStream: boolean): boolean {
    return isStream && status === STATUS_OK;
}

function isNotExecuted({ status, head }: EndpointResponse): boolean {
    return head.isNotExecuted || status === STATUS_MISDIRECTED;
}

/** Whether the caller may get the response; a failure is not preferred to a response that may still come. */
function isUsable({ result, body }: Sent, isStream: boolean): boolean {
    if (result.isErr() || isNotExecuted(result.value)) {
        return false;
    }
    const { head, incoming } = result.value;
    if (isStreamResponse(result.value, isStream)) {
        return head.isSigned && (incoming.readableLength > 0 || incoming.complete);
    }
    return findWholeFault(result.value, body, false) === undefined;
}

/** Resolves when a part of the body has arrived, which is left to be read, or when there is none. */
function waitForData(incoming: http.IncomingMessage): Promise<void> {
    if (incoming.readableLength > 0 || incoming.complete || incoming.destroyed) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const done = () => {
            incoming.removeListener("readable", done);
            incoming.removeListener("close", done);
            resolve();
        };
        incoming.on("readable", done);
        incoming.once("close", done);
    });
}
