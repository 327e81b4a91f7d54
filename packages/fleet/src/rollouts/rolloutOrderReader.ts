import type { Logger } from "@heatherline/common";
import type { StoredObject } from "@heatherline/store";
import type { FleetView } from "../fleetView";
import type { RolloutInstruction, RolloutSchema } from "./rolloutSchema";
import type { RolloutOrder } from "./types";

/** Reads the operators' orders into the fleet view, and logs those that are invalid. */
export class RolloutOrderReader {
    /** Content of the invalid orders that were logged, by name. */
    private logged = new Map<string, string>();

    /**
     * @param schema - How the platform stores orders.
     * @param view - Fleet view to update.
     * @param logger - Log of the instance.
     */
    constructor(
        private readonly schema: RolloutSchema,
        private readonly view: FleetView,
        private readonly logger: Logger,
    ) {}

    /**
     * @param objects - All orders in the store, by name.
     * @param revision - Revision at which they were read.
     */
    apply(objects: ReadonlyMap<string, StoredObject>, revision: number): void {
        const orders: RolloutOrder[] = [];
        const invalid = new Map<string, string>();
        for (const [name, { value, creation }] of objects) {
            const decoded = this.schema.decode(name, value);
            if (decoded.isOk()) {
                orders.push(this.newOrder(decoded.value, creation));
                continue;
            }
            const content = JSON.stringify(value);
            invalid.set(name, content);
            if (this.logged.get(name) !== content) {
                this.logger.warn({ event: "rollout-order-invalid", service: name, reason: decoded.error });
            }
        }
        this.logged = invalid;
        this.view.applyRolloutOrders({ revision, value: orders });
    }

    /** The order was given shortly before it was first read, by this instance or by the one that sent it to this one. */
    private newOrder(instruction: RolloutInstruction, creation: number | undefined): RolloutOrder {
        const orderId = `${instruction.toVersion}.${instruction.durationMs}.${creation ?? 0}`;
        const known = this.view.rolloutOrders.find(order =>
            order.service === instruction.service && order.orderId === orderId
        );
        return known ?? { ...instruction, orderId, orderedAt: Date.now() };
    }
}
