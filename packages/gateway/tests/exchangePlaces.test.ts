import type { HeldPlace, PlaceRequestOptions, Route } from "@heatherline/fleet";
import { ok } from "neverthrow";
import { describe, expect, it } from "vitest";
import { newTestEndpoint } from "../../fleet/tests/testEndpoint";
import { ExchangePlaces, type ExchangePlacesDependencies } from "../src/online/exchangePlaces";
import type { OnlineRequest } from "../src/online/onlineRequest";
import { RetryPolicy } from "../src/online/retryPolicy";

const SIGNAL = new AbortController().signal;

/** Requests a place beside one at an endpoint of version v1; returns what was asked for. */
async function requestBeside(kind: Route["kind"]): Promise<PlaceRequestOptions | undefined> {
    const route = {
        kind,
        isResumable: true,
        maxAttempts: 2,
        targets: [{ service: "lm", weight: 1 }],
        targetLatencyMs: 300,
        allowedRegions: [],
    } as unknown as Route;
    const admitted = { route, organisation: undefined, allowedRegions: [], priority: 0 };
    let requested: PlaceRequestOptions | undefined;
    const places = new ExchangePlaces(
        {
            admission: { admit: () => ok(admitted) },
            placement: {
                requestPlace: (options: PlaceRequestOptions) => {
                    requested = options;
                    return Promise.resolve({ kind: "refused", reason: "overloaded", retryAfterMs: 0, detail: "" });
                },
            },
            metrics: {},
        } as unknown as ExchangePlacesDependencies,
        {
            request: {
                path: "/a",
                body: Buffer.alloc(0),
                arrivedAtMs: performance.now(),
                caller: { requestId: "r", sharedPromptParts: [] },
            } as unknown as OnlineRequest,
            admitted: admitted as never,
            deadlineAtMs: performance.now() + 5_000,
            retryPolicy: new RetryPolicy(route),
        },
    );
    const endpoint = newTestEndpoint({ endpointId: "silent", service: "lm", softwareVersion: "v1" });
    await places.requestBeside({ endpoint } as HeldPlace, SIGNAL);
    return requested;
}

// A stream began at the silent endpoint after all, while it was recorded as one of the other endpoint's version.
describe("a place beside that of an attempt that goes on", () => {
    it.each([
        { kind: "streaming" as const, softwareVersion: "v1" },
        { kind: "idempotent" as const, softwareVersion: undefined },
    ])("is elsewhere, and for a stream at the same version: $kind", async ({ kind, softwareVersion }) => {
        const requested = await requestBeside(kind);
        expect(requested?.excluded).toEqual(["silent"]);
        expect(requested?.softwareVersion).toBe(softwareVersion);
    });
});
