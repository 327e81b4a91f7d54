import type { Logger } from "@heatherline/common";

/** An endpoint that this instance can't reach is excluded from its requests for this long, in milliseconds. */
const UNREACHABLE_EXCLUSION_MS = 1_500;

/** Endpoints that this instance couldn't reach lately. */
export class UnreachableEndpoints {
    private readonly untilMs = new Map<string, number>();

    /**
     * @param logger - Log of the instance.
     */
    constructor(private readonly logger: Logger) {}

    /**
     * @param endpointId - An endpoint that couldn't be reached.
     */
    add(endpointId: string): void {
        this.untilMs.set(endpointId, performance.now() + UNREACHABLE_EXCLUSION_MS);
    }

    /** @returns Ids of the endpoints that are not to be used now. */
    getIds(): string[] {
        const nowMs = performance.now();
        return [...this.untilMs].filter(([, untilMs]) => untilMs > nowMs).map(([endpointId]) => endpointId);
    }

    /** @returns Ids of the endpoints that are not to be used now; the others are forgotten, since they are tried again. */
    takeIds(): string[] {
        const current = this.getIds();
        for (const endpointId of [...this.untilMs.keys()].filter(id => !current.includes(id))) {
            this.untilMs.delete(endpointId);
            this.logger.info({ event: "endpoint-tried-again", endpoint: endpointId });
        }
        return current;
    }
}
