import type { PeerTransport } from "@heatherline/agreement";
import type { EndpointCrash, Logger } from "@heatherline/common";
import type { ConfigWriter } from "@heatherline/config";
import { ok } from "neverthrow";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { PeerDirectory } from "../src/peerDirectory";
import { QuarantineBroadcaster, type SuspectUpdate } from "../src/quarantineBroadcaster";

/** Delays until the trials of a block. */
const FIRST_TRIAL_MS = 6_000;
const SECOND_TRIAL_MS = 40_000;
const THIRD_TRIAL_MS = 300_000;

let sent: SuspectUpdate[];
let written: { readonly kind: string; readonly fingerprint: string; }[];

beforeEach(() => {
    vi.useFakeTimers();
    sent = [];
    written = [];
});

afterEach(() => {
    vi.useRealTimers();
});

function newBroadcaster(): QuarantineBroadcaster {
    return new QuarantineBroadcaster(
        {
            write: (document: { kind: string; fingerprint: string; }) => {
                written.push(document);
                return Promise.resolve(ok(1));
            },
        } as unknown as ConfigWriter,
        { getPeers: () => [{ instanceId: "other" }] } as unknown as PeerDirectory,
        {
            call: (_instanceId: string, _method: string, update: SuspectUpdate) => {
                sent.push(update);
                return Promise.resolve(ok(undefined));
            },
        } as unknown as PeerTransport,
        { warn: () => undefined } as unknown as Logger,
    );
}

function newCrash(request: number): EndpointCrash {
    return {
        reportId: `r${request}`,
        endpointId: `e${request}`,
        fingerprint: `f${request}`,
        promptParts: ["part"],
        ageMs: 10_000 - 1_000 * request,
    };
}

describe("a crash that a message may have caused", () => {
    it("quarantines no message whose trials have ended without a crash", () => {
        const broadcaster = newBroadcaster();
        const { partTracker } = broadcaster.suspects;
        [1, 2, 3].forEach(request => partTracker.recordCrash(newCrash(request)));
        for (const delayMs of [FIRST_TRIAL_MS, SECOND_TRIAL_MS, THIRD_TRIAL_MS]) {
            vi.advanceTimersByTime(delayMs);
            expect(partTracker.admit(["part"])).toBe("trial");
        }
        expect(written).toEqual([]);
    });

    it("is sent to the other instances, which block the message after three", () => {
        const first = newBroadcaster();
        const second = newBroadcaster();
        for (const request of [1, 2, 3]) {
            expect(second.suspects.partTracker.isBlocked(["part"])).toBe(false);
            const endAttempt = first.suspects.beginAttempt(`e${request}`, () => `f${request}`, false);
            endAttempt("crashed", newCrash(request));
            second.handleUpdate(sent.at(-1) as SuspectUpdate);
        }
        expect(second.suspects.partTracker.isBlocked(["part"])).toBe(true);
        expect(written).toEqual([]);
    });

    it("quarantines the message for good once two more requests with it have crashed endpoints", () => {
        const broadcaster = newBroadcaster();
        const { partTracker } = broadcaster.suspects;
        [1, 2, 3].forEach(request => partTracker.recordCrash(newCrash(request)));
        vi.advanceTimersByTime(FIRST_TRIAL_MS);
        expect(partTracker.admit(["part"])).toBe("trial");
        partTracker.recordCrash({ ...newCrash(4), ageMs: 0 });
        vi.advanceTimersByTime(SECOND_TRIAL_MS);
        expect(partTracker.admit(["part"])).toBe("trial");
        expect(written).toEqual([]);
        partTracker.recordCrash({ ...newCrash(5), ageMs: 0 });
        expect(written).toMatchObject([{ kind: "quarantine", fingerprint: "part" }]);
    });
});
