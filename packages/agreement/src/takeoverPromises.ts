import { monotonicMs } from "@heatherline/common";
import { LEASE_TERM_MS } from "./types";

/** Promises of this instance not to take a lease over, each made to the lease holder of an epoch for one term. */
export class TakeoverPromises {
    private latest = { epoch: 0, untilMs: 0 };
    private renounced = 0;

    /** Lease holders of this epoch and of earlier ones get no promise any more. */
    get renouncedEpoch(): number {
        return this.renounced;
    }

    /**
     * @param epoch - Epoch of a lease.
     * @returns Whether a promise to its holder, or to that of a later epoch, is in force.
     */
    isBound(epoch: number): boolean {
        return this.latest.epoch >= epoch && monotonicMs() < this.latest.untilMs;
    }

    /**
     * Makes a promise from now on.
     *
     * @param epoch - Epoch of the lease whose holder gets it.
     */
    make(epoch: number): void {
        this.latest = { epoch, untilMs: monotonicMs() + LEASE_TERM_MS };
    }

    /**
     * Makes no further promises to the holder of a lease, before a takeover.
     *
     * @param epoch - Epoch of the lease.
     */
    renounce(epoch: number): void {
        this.renounced = Math.max(this.renounced, epoch);
    }

    /**
     * Makes promises to the holder of a lease again, after a takeover that can't succeed any more.
     *
     * @param epoch - Epoch of the lease.
     */
    resume(epoch: number): void {
        this.renounced = Math.min(this.renounced, epoch - 1);
    }
}
