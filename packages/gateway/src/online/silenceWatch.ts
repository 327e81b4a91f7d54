import { sleep } from "@heatherline/common";
import type { HeldPlace } from "@heatherline/fleet";
import type { Fault } from "../endpoints/endpointLinks";

/** An endpoint with a free slot begins to respond within some tens of milliseconds; without a response it is checked. */
export const FIRST_RESPONSE_TIMEOUT_MS = 600;
/** A stream without an event for this long is checked; a slow endpoint sends events every few hundred milliseconds. */
const STALL_TIMEOUT_MS = 800;
/** An endpoint that has sent nothing for this long, in response to any request, hangs, though it answered others before. */
export const HANG_TIMEOUT_MS = 2_000;
/**
 * Sound endpoints may be silent for a second or so. One that works on meanwhile must not do so for long beside the endpoint
 * to which its stream moves, and callers leave after two seconds without an event.
 */
const SOUND_SILENCE_MS = 1_200;
const POLL_MS = 100;
/** Delay between two requests for a place elsewhere. */
const PLACE_RETRY_MS = 200;

/** What a watch needs to know of an attempt, and what it does. */
export interface WatchedAttempt {
    /** @returns Whether the response has begun to arrive. */
    readonly hasResponded: () => boolean;
    /** @returns Time since the last event of a stream, in milliseconds; 0 for other responses that have begun. */
    readonly getQuietMs: () => number;
    /** @returns Whether the endpoint has lately sent nothing in response to other requests either. */
    readonly isEndpointSilent: () => boolean;
    /** Whether the request may run more than once, and once more. */
    readonly isRepeatable: boolean;
    /** Whether the request must not run at two endpoints side by side. */
    readonly isExclusive: boolean;
    /**
     * @param place - The place to move to; `undefined` before there is one.
     * @returns Whether the request may be sent to another endpoint now.
     */
    readonly mayMove: (place: HeldPlace | undefined) => boolean;
    /** Finds out whether the endpoint can be reached, after it has sent nothing of the response in time. */
    readonly checkEndpoint: () => Promise<Fault>;
    /**
     * Requests a place at another endpoint.
     *
     * @param signal - Withdraws the request.
     * @returns The place; `undefined` if there is none.
     */
    readonly requestPlace: (signal: AbortSignal) => Promise<HeldPlace | undefined>;
    /** Ends the attempt, so that the request goes on at the place. */
    readonly move: (place: HeldPlace) => void;
}

/**
 * Watches an attempt whose endpoint may fall silent. The attempt goes on until a place at another endpoint is held: the
 * endpoint may only be silent for a while, and without a place elsewhere there is nothing better to wait for.
 */
export class SilenceWatch {
    private readonly startedAtMs = performance.now();
    private readonly firstTimer: NodeJS.Timeout;
    private pollTimer: NodeJS.Timeout | undefined;
    private check: Promise<void> | undefined;
    private isUnreachable = false;
    /** Ends the search for a place elsewhere. */
    private search: AbortController | undefined;

    /**
     * @param attempt - The attempt, which has just begun.
     */
    constructor(private readonly attempt: WatchedAttempt) {
        this.firstTimer = setTimeout(() => {
            if (!attempt.hasResponded()) {
                this.checkEndpoint();
            }
            if (attempt.isRepeatable) {
                this.poll();
                this.pollTimer = setInterval(() => this.poll(), POLL_MS);
            }
        }, FIRST_RESPONSE_TIMEOUT_MS);
    }

    /** Whether a place elsewhere is being requested. */
    get isSearching(): boolean {
        return this.search !== undefined;
    }

    /** Records that a part of the response has arrived; a place elsewhere is no longer needed. */
    recordResponse(): void {
        this.check = undefined;
        this.isUnreachable = false;
        this.search?.abort();
        this.search = undefined;
    }

    /** Stops watching. */
    stop(): void {
        clearTimeout(this.firstTimer);
        clearInterval(this.pollTimer);
        this.search?.abort();
    }

    private poll(): void {
        const { attempt } = this;
        const hasResponded = attempt.hasResponded();
        const quietMs = hasResponded ? attempt.getQuietMs() : performance.now() - this.startedAtMs;
        const timeoutMs = hasResponded ? STALL_TIMEOUT_MS : FIRST_RESPONSE_TIMEOUT_MS;
        if (quietMs < timeoutMs || (!hasResponded && !attempt.isEndpointSilent())) {
            return;
        }
        this.checkEndpoint();
        const isSoundForNow = attempt.isExclusive && !this.isUnreachable;
        if (this.search === undefined && quietMs >= (isSoundForNow ? SOUND_SILENCE_MS : timeoutMs)) {
            this.search = new AbortController();
            void this.searchPlace(this.search.signal);
        }
    }

    /** An endpoint that can't be reached doesn't go on. */
    private checkEndpoint(): void {
        this.check ??= this.attempt.checkEndpoint().then(fault => {
            this.isUnreachable = fault !== "none";
        });
    }

    private async searchPlace(signal: AbortSignal): Promise<void> {
        const { attempt } = this;
        while (!signal.aborted) {
            const place = attempt.mayMove(undefined) ? await attempt.requestPlace(signal) : undefined;
            // The configuration may have changed while the place was awaited.
            if (place !== undefined && !signal.aborted && attempt.mayMove(place)) {
                attempt.move(place);
                return;
            }
            place?.release("lost");
            await sleep(PLACE_RETRY_MS, signal);
        }
    }
}
