import type { Logger } from "@heatherline/common";
import {
    type FleetView,
    RolloutController,
    RolloutGuard,
    type RolloutLimits,
    type RolloutRecord,
    type RolloutSchema,
} from "@heatherline/fleet";
import type { ObjectStore, StoredObject } from "@heatherline/store";
import { type PutStatus, RolloutStatuses } from "./rolloutStatuses";
import { RolloutStore } from "./rolloutStore";

const REVIEW_INTERVAL_MS = 100;
/** Delay of the next try after the records or the orders could not be read, in milliseconds. */
const LOAD_RETRY_MS = 200;

/** What a {@link RolloutRole} depends on. */
export interface RolloutRoleDependencies {
    readonly limits: RolloutLimits;
    readonly schema: RolloutSchema;
    readonly store: ObjectStore;
    readonly view: FleetView;
    readonly putStatus: PutStatus;
    /** Whether this instance holds the coordinator's lease now. */
    readonly isCoordinator: () => boolean;
    /** Reads the orders from the store into the view; returns whether they were read. */
    readonly readOrders: () => Promise<boolean>;
    /** Called when the versions that requests may use have changed. */
    readonly onChange: () => void;
}

/** The coordinator's work on roll-outs: decides, stores the decisions, and tells the operators. */
export class RolloutRole {
    private readonly store: RolloutStore;
    private readonly statuses: RolloutStatuses;
    private controller: RolloutController | undefined;
    private isAdopted = false;
    /** What the store holds, by service. */
    private readonly stored = new Map<string, RolloutRecord>();
    private readonly saving = new Set<string>();
    /** The latest record that waits for the end of another write of its service, by service. */
    private readonly waiting = new Map<string, RolloutRecord>();
    private timer: NodeJS.Timeout | undefined;
    /** State and share of all roll-outs when the last change was reported. */
    private reported = "";

    /**
     * @param deps - What the role depends on.
     * @param logger - Log of the instance.
     */
    constructor(private readonly deps: RolloutRoleDependencies, private readonly logger: Logger) {
        this.store = new RolloutStore(deps.store, logger);
        this.statuses = new RolloutStatuses(deps.schema, deps.putStatus, deps.isCoordinator, logger);
        deps.view.onChange(part => {
            if (part === "rolloutOrders" && this.isAdopted) {
                this.controller?.setOrders(deps.view.rolloutOrders);
                this.review();
            }
        });
    }

    /**
     * Begins to decide. The new version of an order is not used until the records and the orders have been read.
     *
     * @param epoch - Epoch of the lease.
     * @returns The decisions, for the coordinator.
     */
    start(epoch: number): RolloutController {
        this.stop();
        const { limits, view } = this.deps;
        const controller = new RolloutController(limits, {
            getEndpoints: () => view.getEndpoints(),
            getLongestTimeoutMs: service => getLongestTimeoutMs(view, service),
            logger: this.logger,
        });
        // Until the records have been read, the new versions of the orders that are known already get nothing.
        const completed = view.rolloutRecords.filter(({ state }) => state === "completed");
        const isOpen = (orderId: string) => completed.every(record => record.orderId !== orderId);
        controller.setOrders(view.rolloutOrders.filter(({ orderId }) => isOpen(orderId)));
        this.controller = controller;
        this.timer = setInterval(() => this.review(), REVIEW_INTERVAL_MS);
        void this.load(controller, epoch);
        return controller;
    }

    /** Stops deciding; nothing more is written. */
    stop(): void {
        clearInterval(this.timer);
        this.controller = undefined;
        this.isAdopted = false;
        this.stored.clear();
        this.saving.clear();
        this.waiting.clear();
    }

    /**
     * @param objects - All orders in the store with their statuses, by name.
     */
    setObjects(objects: ReadonlyMap<string, StoredObject>): void {
        this.statuses.setObjects(objects);
        this.updateStatuses();
    }

    /** @returns The roll-outs as they are in force; empty unless this instance is the coordinator. */
    getRecords(): readonly RolloutRecord[] {
        return this.isAdopted ? this.controller?.getRecords() ?? [] : [];
    }

    /**
     * The orders are read after the records: a record without its order would look like that of a withdrawn order.
     */
    private async load(controller: RolloutController, epoch: number): Promise<void> {
        while (this.controller === controller) {
            const records = this.deps.isCoordinator() ? await this.store.load(epoch) : undefined;
            const isRead = records !== undefined && await this.deps.readOrders();
            if (this.controller !== controller) {
                return;
            }
            if (records !== undefined && isRead) {
                this.adopt(controller, records, epoch);
                return;
            }
            await new Promise(resolve => setTimeout(resolve, LOAD_RETRY_MS));
        }
    }

    private adopt(controller: RolloutController, records: readonly RolloutRecord[], epoch: number): void {
        records.forEach(record => this.stored.set(record.service, record));
        controller.adopt(records, epoch);
        controller.setOrders(this.deps.view.rolloutOrders);
        this.isAdopted = true;
        this.logger.info({ event: "rollouts-adopted", epoch, count: records.length });
        this.review();
    }

    private review(): void {
        const { controller } = this;
        if (controller === undefined || !this.isAdopted || !this.deps.isCoordinator()) {
            return;
        }
        for (const record of controller.review()) {
            if (this.saving.has(record.service)) {
                this.waiting.set(record.service, record);
            }
            else {
                void this.save(controller, record);
            }
        }
        this.updateStatuses();
        this.reportChange(controller);
    }

    private reportChange(controller: RolloutController): void {
        const states = controller.getRecords().map((
            { service, orderId, state, share },
        ) => [service, orderId, state, share]);
        const text = JSON.stringify(states);
        if (text !== this.reported) {
            this.reported = text;
            this.deps.onChange();
        }
    }

    /** One write at a time for each service; of the records that come meanwhile, the last one is written next. */
    private async save(controller: RolloutController, record: RolloutRecord): Promise<void> {
        await this.saveOnce(controller, record);
        const next = this.waiting.get(record.service);
        this.waiting.delete(record.service);
        if (next !== undefined && this.controller === controller && this.isCurrent(controller, next)) {
            await this.save(controller, next);
        }
    }

    /** A final state that the controller no longer wants, since it has gone back meanwhile, must not be written. */
    private isCurrent(controller: RolloutController, { service, orderId, state }: RolloutRecord): boolean {
        const current = controller.getRecords().find(record => record.service === service);
        return current?.orderId === orderId && (current.state === "running" || current.state === state);
    }

    private async saveOnce(controller: RolloutController, record: RolloutRecord): Promise<void> {
        const { service } = record;
        this.saving.add(service);
        const outcome = await this.store.save(record);
        if (this.controller !== controller) {
            return;
        }
        this.saving.delete(service);
        if (outcome !== "stored") {
            controller.recordStoreFailure();
            if (outcome === "fenced") {
                this.logger.warn({ event: "rollout-fenced", service, state: record.state, epoch: record.epoch });
            }
            return;
        }
        const previous = this.stored.get(service);
        this.stored.set(service, record);
        controller.confirmStored(record);
        this.logChange(previous, record);
        this.updateStatuses();
        this.reportChange(controller);
    }

    private updateStatuses(): void {
        if (this.isAdopted && this.deps.isCoordinator()) {
            this.statuses.update(this.deps.view.rolloutOrders, this.stored);
        }
    }

    private logChange(previous: RolloutRecord | undefined, record: RolloutRecord): void {
        const { service, toVersion, orderId, state, share, reason, exposedRequests, totalRequests, routes } = record;
        const isNew = previous?.orderId !== orderId;
        const fields = { service, toVersion, share, reason, exposedRequests, totalRequests };
        if (isNew) {
            const { orderedAt, deadlineAt } = record;
            this.logger.info({ event: "rollout-begins", ...fields, orderId, orderedAt, deadlineAt });
        }
        if (state !== "running" && (isNew || previous.state === "running")) {
            this.logger.info({ event: "rollout-ends", ...fields, state, routes });
        }
        else if (!isNew && previous.share !== share) {
            this.logger.info({ event: "rollout-step", ...fields, previousShare: previous.share, routes });
        }
    }
}

/**
 * @param deps - What the role depends on; limits and schema are absent where roll-outs are off.
 * @param logger - Log of the instance.
 * @returns The role, if roll-outs are on.
 */
export function newRolloutRole(
    deps: Omit<RolloutRoleDependencies, "limits" | "schema"> & {
        readonly limits: RolloutLimits | undefined;
        readonly schema: RolloutSchema | undefined;
    },
    logger: Logger,
): RolloutRole | undefined {
    const { limits, schema } = deps;
    return limits === undefined || schema === undefined
        ? undefined
        : new RolloutRole({ ...deps, limits, schema }, logger);
}

/**
 * @param view - Fleet view.
 * @returns Which versions an instance that decides without the coordinator may use.
 */
export function newRolloutGuard(view: FleetView): RolloutGuard {
    return new RolloutGuard(view.rolloutOrders, view.rolloutRecords);
}

function getLongestTimeoutMs({ routes }: FleetView, service: string): number {
    const ofService = routes?.config.routes.filter(({ targets }) => targets.some(target => target.service === service));
    return Math.max(0, ...ofService?.map(({ timeoutMs }) => timeoutMs) ?? []);
}
