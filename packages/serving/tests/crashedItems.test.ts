import { err, ok, type Result } from "neverthrow";
import { describe, expect, it, vi } from "vitest";
import { AttemptFilter, CrashSuspectRegistry, type DeliveredResponse, DispatchError } from "../src";
import { newResolvedExchange } from "./testExchange";

vi.mock("../src/endpoints/probe", () => ({ probeEndpoint: () => Promise.resolve(probeResults.shift() ?? true) }));

/** Before each attempt that runs alone the endpoint is up, and after each crash it is down. */
let probeResults: boolean[] = [];

const CRASHES = 3;

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
            await filter.handle(newResolvedExchange(workClass, "item"), () => Promise.reject(new Error("unused")));
        }
        isCrashing = false;
        probeResults = [true];
        const result = await filter.handle(
            newResolvedExchange(workClass, "item"),
            () => Promise.reject(new Error("unused")),
        );
        expect(result.match(() => "delivered", ({ kind }) => kind)).toBe(outcome);
    });
});
