import { type Logger, startLoop } from "@heatherline/common";
import type { EndpointSpec, ServiceDocument } from "@heatherline/config";
import type { EndpointInventory, EndpointOrder, OrderTransport } from "./types";

/** What the reconciler needs from the rest of the instance. */
export interface EndpointReconcilerDependencies {
    /** @returns All current service documents. */
    getServices(): readonly ServiceDocument[];
    /**
     * @param service - A service.
     * @param spec - One of its endpoints.
     * @returns The fencing token to use, or `undefined` if another instance sends the orders or may still do so.
     */
    getFencingToken(service: ServiceDocument, spec: EndpointSpec): number | undefined;
    /**
     * Takes one load from the fleet's rate limit for loads of model weights from the weight store.
     *
     * @param service - The service whose endpoint loads weights.
     * @returns Whether a load may start now.
     */
    tryStartLoad(service: ServiceDocument): Promise<boolean>;
}

const INTERVAL_MS = 1_000;

/**
 * Reconciles endpoints with their service document: the preferred version of each model, and the role. Orders carry the
 * version of the member table as fencing token, which is higher for each later owner.
 */
export class EndpointReconciler {
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param transport - Sends the orders.
     * @param dependencies - What the reconciler needs from the rest of the instance.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly transport: OrderTransport,
        private readonly dependencies: EndpointReconcilerDependencies,
        private readonly logger: Logger,
    ) {}

    /** Starts reconciling at a fixed interval. */
    start(): void {
        this.stopLoop = startLoop(() => INTERVAL_MS, () => this.reconcile());
    }

    /** Stops reconciling. */
    stop(): void {
        void this.stopLoop?.();
    }

    /** Compares each endpoint that this instance owns with its document, and sends at most one order to each. */
    async reconcile(): Promise<void> {
        for (const service of this.dependencies.getServices()) {
            const specs = service.endpoints.filter(spec => spec.orders !== "none" && spec.state === "in");
            await Promise.all(specs.map(spec => this.reconcileEndpoint(service, spec)));
        }
    }

    private async reconcileEndpoint(service: ServiceDocument, spec: EndpointSpec): Promise<void> {
        if (this.dependencies.getFencingToken(service, spec) === undefined) {
            return;
        }
        const inventory = await this.transport.fetchInventory(spec);
        const order = inventory.isOk() ? findOrder(service, spec, inventory.value) : undefined;
        if (order === undefined || (order.kind === "load" && !await this.dependencies.tryStartLoad(service))) {
            return;
        }
        // Checked again just before the order is sent: the calls above may have taken longer than the lease is valid.
        const fence = this.dependencies.getFencingToken(service, spec);
        if (fence === undefined) {
            return;
        }
        const sent = await this.transport.send(spec, { ...order, fence });
        const fields = { service: service.service, endpoint: spec.endpoint, order, fence };
        if (sent.isOk()) {
            this.logger.info(fields, "order sent to endpoint");
        }
        else {
            this.logger.warn({ ...fields, error: sent.error.toString() }, "order was not accepted by endpoint");
        }
    }
}

type UnfencedOrder =
    | Omit<Extract<EndpointOrder, { kind: "load"; }>, "fence">
    | Omit<Extract<EndpointOrder, { kind: "role"; }>, "fence">;

function findOrder(
    service: ServiceDocument,
    spec: EndpointSpec,
    inventory: EndpointInventory,
): UnfencedOrder | undefined {
    if (spec.role !== undefined && inventory.role !== spec.role) {
        return { kind: "role", role: spec.role };
    }
    if (inventory.loading !== undefined) {
        return undefined;
    }
    const missing = service.models.find(({ model, versions }) => inventory.loaded[model] !== versions[0]);
    return missing === undefined
        ? undefined
        : { kind: "load", model: missing.model, version: missing.versions[0] ?? "" };
}
