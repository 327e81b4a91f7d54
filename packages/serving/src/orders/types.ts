import { LayerError } from "@heatherline/common";
import type { EndpointSpec } from "@heatherline/config";
import type { Result } from "neverthrow";

/**
 * - `stale`: the endpoint has accepted an order with a higher fencing token.
 * - `refused`: the endpoint rejected the order.
 * - `unreachable`: no response; the order may have been accepted.
 */
export type OrderErrorKind = "stale" | "refused" | "unreachable";

/** An error of an order to an endpoint. */
export class OrderError extends LayerError<OrderErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One human-readable sentence.
     * @param cause - The underlying error.
     */
    constructor(kind: OrderErrorKind, message: string, cause?: unknown) {
        super("orders", kind, message, cause);
    }
}

/** The state that an endpoint reports: its loaded models and its role. */
export interface EndpointInventory {
    /** Model to loaded version. */
    readonly loaded: Readonly<Record<string, string>>;
    /** Model that is being loaded now; absent if none is. */
    readonly loading?: string;
    readonly role: string;
}

/**
 * A command to an endpoint: to load a version of a model, or to change its role. Endpoints that check the fencing token
 * `fence` reject an order with a lower one than they have seen.
 */
export type EndpointOrder =
    | { readonly kind: "load"; readonly model: string; readonly version: string; readonly fence: number; }
    | { readonly kind: "role"; readonly role: string; readonly fence: number; };

/** Sends orders to endpoints in the protocol of their inference engine. */
export interface OrderTransport {
    /**
     * @param spec - The endpoint.
     * @returns Its loaded models and role.
     */
    fetchInventory(spec: EndpointSpec): Promise<Result<EndpointInventory, OrderError>>;
    /**
     * @param spec - The endpoint.
     * @param order - The order, with its fencing token.
     * @returns Nothing once the order is accepted; the endpoint carries it out asynchronously.
     */
    send(spec: EndpointSpec, order: EndpointOrder): Promise<Result<void, OrderError>>;
}
