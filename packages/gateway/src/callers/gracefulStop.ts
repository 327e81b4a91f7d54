import { type Logger, sleep } from "@heatherline/common";
import type { Ingress } from "./ingress";
import type { StopSchedule } from "./stopSchedule";

const DRAIN_POLL_MS = 50;

/** What a {@link GracefulStop} depends on. */
export interface GracefulStopDependencies {
    readonly schedule: StopSchedule;
    readonly ingress: Ingress;
    readonly getOpenRelayCount: () => number;
    readonly releaseLease: () => Promise<void>;
    readonly handJobsOver: () => void;
    /** Ends what other instances and open requests need until then. */
    readonly endBackgroundWork: () => void;
    readonly logger: Logger;
}

/**
 * The graceful stop of an instance: releases the coordinator lease, hands batch jobs over, accepts no more connections and
 * waits for open requests, at most until shortly before the process is killed.
 */
export class GracefulStop {
    private stopped: Promise<void> | undefined;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: GracefulStopDependencies) {}

    /**
     * Begins the stop; a repeated call changes nothing.
     *
     * @returns Resolves once the instance has stopped, at each call.
     */
    run(): Promise<void> {
        this.stopped ??= this.stop();
        return this.stopped;
    }

    private async stop(): Promise<void> {
        const { schedule, ingress, getOpenRelayCount, logger } = this.deps;
        schedule.start();
        logger.info({ event: "stopping", openRequests: ingress.openRequestCount });
        await this.deps.releaseLease();
        this.deps.handJobsOver();
        await sleep(schedule.acceptingLeftMs);
        // A request that arrives late on a kept-alive connection would be cut off, so idle connections are closed.
        await ingress.stopAccepting();
        while (ingress.openConnectionCount + getOpenRelayCount() > 0 && schedule.leftMs > 0) {
            await sleep(DRAIN_POLL_MS);
        }
        const cut = ingress.openRequestCount;
        if (cut > 0) {
            await ingress.giveUpRequests();
        }
        this.deps.endBackgroundWork();
        logger.info({ event: "stopped", cut });
        ingress.close();
    }
}
