import { type Logger, withJitter } from "@heatherline/common";
import type { RolloutOrder, RolloutRecord, RolloutSchema } from "@heatherline/fleet";
import type { StoredObject } from "@heatherline/store";

/** Delay after a write that the store has not accepted, in milliseconds; doubles up to the limit. */
const FIRST_RETRY_MS = 100;
const MAX_RETRY_MS = 1_000;

/** Replaces the status of an object if its version is the expected one; returns whether the store accepted it. */
export type PutStatus = (path: string, status: Record<string, unknown>, expected?: number) => Promise<boolean>;

interface FailedAttempt {
    /** What was written; another status isn't delayed by its failure. */
    readonly attempt: string;
    readonly retryAtMs: number;
    readonly failures: number;
}

/**
 * Writes what has become of the orders into their status, for the operators. A state is written only after the record
 * with it has been stored, and again until the store accepts it; a status that is already right is left alone.
 */
export class RolloutStatuses {
    private objects: ReadonlyMap<string, StoredObject> = new Map();
    /** Status that the store has accepted since the objects were read, as JSON text, by name. */
    private readonly accepted = new Map<string, { readonly text: string; readonly version: number; }>();
    private readonly failedAttempts = new Map<string, FailedAttempt>();
    /** Status that is being written, with the version on which that depends, by name. */
    private readonly writing = new Map<string, string>();

    /**
     * @param schema - How the platform stores orders and their status.
     * @param putStatus - Writes a status.
     * @param mayWrite - Whether this instance is the coordinator now.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly schema: RolloutSchema,
        private readonly putStatus: PutStatus,
        private readonly mayWrite: () => boolean,
        private readonly logger: Logger,
    ) {}

    /**
     * @param objects - All orders in the store with their statuses, by name.
     */
    setObjects(objects: ReadonlyMap<string, StoredObject>): void {
        this.objects = new Map(objects);
    }

    /**
     * Writes the statuses that differ from what is stored in the records.
     *
     * @param orders - The orders.
     * @param records - Stored records by service.
     */
    update(orders: readonly RolloutOrder[], records: ReadonlyMap<string, RolloutRecord>): void {
        for (const [name, object] of this.objects) {
            const wanted = this.getWanted(name, object, orders, records.get(name));
            const text = JSON.stringify(wanted);
            const accepted = this.accepted.get(name);
            const isAccepted = accepted?.version === object.version && accepted.text === text;
            if (wanted !== undefined && !isAccepted && !isSameStatus(object.status, wanted)) {
                void this.write(name, object.version, wanted);
            }
        }
    }

    private getWanted(
        name: string,
        { value }: StoredObject,
        orders: readonly RolloutOrder[],
        record: RolloutRecord | undefined,
    ): Record<string, unknown> | undefined {
        const decoded = this.schema.decode(name, value);
        if (decoded.isErr()) {
            const version = this.schema.findVersion(value);
            return version === undefined ? undefined : this.schema.encodeStatus("rolled-back", version);
        }
        const order = orders.find(({ service }) => service === name);
        const isOfOrder = order !== undefined && order.orderId === record?.orderId
            && order.toVersion === decoded.value.toVersion;
        return isOfOrder ? this.schema.encodeStatus(record.state, record.toVersion) : undefined;
    }

    private async write(name: string, version: number, status: Record<string, unknown>): Promise<void> {
        // A write without a response ends with the time limit of the call, for which a final state can't wait. Both depend
        // on the version, so that the earlier status can't replace the later one.
        const attempt = `${version} ${JSON.stringify(status)}`;
        const last = this.failedAttempts.get(name);
        const { failures, retryAtMs } = last?.attempt === attempt ? last : { failures: 0, retryAtMs: 0 };
        if (performance.now() < retryAtMs || this.writing.get(name) === attempt || !this.mayWrite()) {
            return;
        }
        this.writing.set(name, attempt);
        const isAccepted = await this.putStatus(`${this.schema.kind}/${name}`, status, version).catch(() => false);
        const isLatest = this.writing.get(name) === attempt;
        if (isLatest) {
            this.writing.delete(name);
        }
        this.logger.info({ event: "rollout-status", service: name, status, isAccepted });
        if (!isLatest) {
            return;
        }
        if (isAccepted) {
            this.failedAttempts.delete(name);
            this.accepted.set(name, { text: JSON.stringify(status), version });
            return;
        }
        const delayMs = withJitter(Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures));
        this.failedAttempts.set(name, { attempt, failures: failures + 1, retryAtMs: performance.now() + delayMs });
    }
}

function isSameStatus(status: Record<string, unknown> | undefined, wanted: Record<string, unknown>): boolean {
    return status !== undefined && Object.entries(wanted).every(([name, value]) => status[name] === value);
}
