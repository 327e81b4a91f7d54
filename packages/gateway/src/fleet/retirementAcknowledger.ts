import type { Logger } from "@heatherline/common";
import type { StateSchema } from "@heatherline/fleet";

/**
 * Acknowledges the operators' requests to retire instances with disks. This system keeps no data on their disks, so
 * every request is completed at once.
 */
export class RetirementAcknowledger {
    private readonly acknowledged = new Set<string>();

    /**
     * @param schema - Kind and completed status of the platform's retirement objects.
     * @param putStatus - Replaces the status of an object; returns whether the store accepted it.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly schema: StateSchema,
        private readonly putStatus: (path: string, status: Record<string, unknown>) => Promise<boolean>,
        private readonly logger: Logger,
    ) {}

    /**
     * Acknowledges the requests that have not been acknowledged yet.
     *
     * @param names - All instances whose retirement is requested now.
     */
    setRequested(names: readonly string[]): void {
        for (const name of this.acknowledged) {
            if (!names.includes(name)) {
                this.acknowledged.delete(name);
            }
        }
        for (const name of names) {
            if (!this.acknowledged.has(name)) {
                this.acknowledged.add(name);
                void this.acknowledge(name);
            }
        }
    }

    private async acknowledge(name: string): Promise<void> {
        const isTaken = await this.putStatus(`${this.schema.retirementKind}/${name}`, this.schema.retiredStatus);
        this.logger.info({ event: "retirement-answered", instance: name, isTaken });
        if (!isTaken) {
            // Retried when the store's list is read the next time.
            this.acknowledged.delete(name);
        }
    }
}
