import { type BlockedPrompt, type EndpointCrash, monotonicMs, PromptPartTracker } from "@heatherline/common";
import type { HealthEvent } from "./endpoints/warmUpLimiter";

/** A crash of an endpoint and the requests that were running there. */
export interface CrashReport {
    readonly endpoint: string;
    /** Fingerprints (hashes of the content) of the requests that were running there. */
    readonly fingerprints: readonly string[];
    /** The request that has repeatedly crashed endpoints on which it ran alone; `undefined` if there is none. */
    readonly culprit: string | undefined;
    /** The crash with the shared parts of the prompt, if nothing of the response had arrived. */
    readonly promptCrash?: EndpointCrash | undefined;
}

/** Time for which a request that was running at a crash stays suspect. */
const SUSPECT_TTL_MS = 600_000;
const MAX_SUSPECTS = 10_000;
/** More than one, as an endpoint may crash for another reason while a suspect runs alone on it. */
const EXCLUSIVE_CRASHES_TO_QUARANTINE = 2;

/**
 * Requests that were running when an endpoint crashed. A suspect may only run again alone on an endpoint: if it then
 * succeeds, it is cleared; if endpoints crash repeatedly while it runs alone, it is quarantined. Requests that only
 * ran at the same time as the cause of a crash are never quarantined.
 */
export class CrashSuspectRegistry {
    /** Finds parts of prompts that crash endpoints, whatever request has them. */
    readonly partTracker: PromptPartTracker;
    private readonly suspects = new Map<string, number>();
    private readonly exclusiveCrashes = new Map<string, number>();
    private readonly quarantined = new Set<string>();
    /** Endpoint to the fingerprint functions of the requests that run there. */
    private readonly runningAt = new Map<string, Set<() => string>>();

    /**
     * @param onCrash - Called for each crash that this instance detects.
     * @param onCleared - Called for each suspect that has succeeded.
     * @param onPromptChange - Called for each block of a part of prompts that begins, changes or, with `isEnded`, ends.
     */
    constructor(
        private readonly onCrash: (report: CrashReport) => void,
        private readonly onCleared: (fingerprint: string) => void,
        onPromptChange: (prompt: BlockedPrompt, isEnded: boolean) => void = () => undefined,
    ) {
        this.partTracker = new PromptPartTracker(onPromptChange);
    }

    /**
     * @param getFingerprint - Computes the fingerprint of a request; only called if there are suspects.
     * @returns Whether the request may only run alone on an endpoint.
     */
    isSuspect(getFingerprint: () => string): boolean {
        const untilMs = this.suspects.size === 0 ? undefined : this.suspects.get(getFingerprint());
        return untilMs !== undefined && monotonicMs() < untilMs;
    }

    /**
     * @param getFingerprint - Computes the fingerprint of a request; only called if there are quarantined requests.
     * @returns Whether the request is known to crash endpoints, even if the configuration doesn't list it yet.
     */
    isQuarantined(getFingerprint: () => string): boolean {
        return this.quarantined.size > 0 && this.quarantined.has(getFingerprint());
    }

    /**
     * @param fingerprint - A request that has repeatedly crashed endpoints on which it ran alone.
     */
    quarantine(fingerprint: string): void {
        this.quarantined.add(fingerprint);
        this.clear(fingerprint);
    }

    /**
     * Records that a request starts to run at an endpoint.
     *
     * @param endpoint - The endpoint.
     * @param getFingerprint - Computes the fingerprint of the request.
     * @param isExclusive - Whether the request runs there alone, so that a crash counts towards its quarantine.
     * @returns Function to call once with the outcome of the attempt.
     */
    beginAttempt(
        endpoint: string,
        getFingerprint: () => string,
        isExclusive: boolean,
    ): (event: HealthEvent | undefined, promptCrash?: EndpointCrash) => void {
        const running = this.runningAt.get(endpoint) ?? new Set<() => string>();
        running.add(getFingerprint);
        this.runningAt.set(endpoint, running);
        return (event, promptCrash) => {
            const runningTogether = [...running];
            running.delete(getFingerprint);
            if (event === "crashed") {
                const fingerprint = getFingerprint();
                const fingerprints = [...new Set(runningTogether.map(getOther => getOther()))];
                this.add(fingerprints);
                const isCulprit = isExclusive &&
                    this.countExclusiveCrash(fingerprint) >= EXCLUSIVE_CRASHES_TO_QUARANTINE;
                if (isCulprit) {
                    this.quarantine(fingerprint);
                }
                this.onCrash({ endpoint, fingerprints, culprit: isCulprit ? fingerprint : undefined, promptCrash });
            }
            else if (event === "success" && this.suspects.size > 0 && this.clear(getFingerprint())) {
                this.onCleared(getFingerprint());
            }
        };
    }

    /**
     * Adds suspects.
     *
     * @param fingerprints - Requests that were running at a crash, detected here or by a peer.
     */
    add(fingerprints: readonly string[]): void {
        for (const fingerprint of fingerprints) {
            this.suspects.set(fingerprint, monotonicMs() + SUSPECT_TTL_MS);
        }
        while (this.suspects.size > MAX_SUSPECTS) {
            const oldest = this.suspects.keys().next().value;
            if (oldest === undefined) {
                return;
            }
            this.clear(oldest);
        }
    }

    /**
     * @param fingerprint - A request that succeeded, here or at a peer.
     * @returns Whether it was suspect.
     */
    clear(fingerprint: string): boolean {
        this.exclusiveCrashes.delete(fingerprint);
        return this.suspects.delete(fingerprint);
    }

    private countExclusiveCrash(fingerprint: string): number {
        const count = (this.exclusiveCrashes.get(fingerprint) ?? 0) + 1;
        this.exclusiveCrashes.set(fingerprint, count);
        return count;
    }
}
