import { err, ok, type Result } from "neverthrow";
import { describe, expect, it, vi } from "vitest";
import {
    AttemptFilter,
    CrashSuspectRegistry,
    type DeliveredResponse,
    DispatchError,
    type Exchange,
    newExchange,
    type WorkClass,
} from "../src";

vi.mock("../src/endpoints/probe", () => ({ probeEndpoint: () => Promise.resolve(probeResults.shift() ?? true) }));

/** Before each attempt that runs alone the endpoint is up, and after each crash it is down. */
let probeResults: boolean[] = [];

const CRASHES = 3;

function newItem(workClass: WorkClass): Exchange {
    const exchange = newExchange({
        requestId: "r1",
        workClass,
        method: "POST",
        path: "/",
        headers: {},
        body: Buffer.from("item"),
        sink: {
            hasBegun: false,
            begin: () => undefined,
            write: () => undefined,
            end: () => undefined,
            abort: () => undefined,
        },
        abortController: new AbortController(),
        deadlineAtMs: Infinity,
    });
    exchange.service = { service: "lm" } as never;
    exchange.route = { idempotent: true } as never;
    return exchange;
}

describe("requests under which endpoints crashed while they ran alone", () => {
    it.each(
        [
            { workClass: "batch", outcome: "delivered", what: "an item runs again" },
            { workClass: "online", outcome: "quarantined", what: "an online request is quarantined" },
        ] as const,
    )("$what", async ({ workClass, outcome }) => {
        let isCrashing = true;
        const slot = { endpoint: "e", spec: {}, isExclusive: true, release: () => undefined };
        const dispatch = (): Promise<Result<DeliveredResponse, DispatchError>> =>
            Promise.resolve(
                isCrashing ? err(new DispatchError("reset", "the connection was lost", true)) : ok({ status: 200 }),
            );
        const filter = new AttemptFilter(
            { acquire: () => Promise.resolve(ok(slot)) } as never,
            { dispatch },
            { recordRequest: () => undefined, tryTake: () => false } as never,
            new CrashSuspectRegistry(() => undefined, () => undefined),
            { hasQuarantinedRequests: () => false } as never,
        );
        for (let crash = 0; crash < CRASHES; crash += 1) {
            probeResults = [true, false];
            await filter.handle(newItem(workClass), () => Promise.reject(new Error("unused")));
        }
        isCrashing = false;
        probeResults = [true];
        const result = await filter.handle(newItem(workClass), () => Promise.reject(new Error("unused")));
        expect(result.match(() => "delivered", ({ kind }) => kind)).toBe(outcome);
    });
});
