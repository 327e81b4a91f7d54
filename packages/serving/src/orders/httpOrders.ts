import type { EndpointSpec } from "@heatherline/config";
import { callHttp, type HttpReply } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";
import http from "node:http";
import { type EndpointInventory, type EndpointOrder, OrderError, type OrderTransport } from "./types";

const TIMEOUT_MS = 1_000;
const STALE_STATUS = 409;
const FIRST_ERROR_STATUS = 400;

/** Sends orders as JSON over HTTP: `GET /orders` returns the inventory, `POST /orders` takes an order. */
export class HttpOrderTransport implements OrderTransport {
    private readonly agent = new http.Agent({ keepAlive: true });

    async fetchInventory(spec: EndpointSpec): Promise<Result<EndpointInventory, OrderError>> {
        const reply = await this.call(spec, "GET");
        return reply.map(({ body }) => JSON.parse(body.toString("utf8")) as EndpointInventory);
    }

    async send(spec: EndpointSpec, order: EndpointOrder): Promise<Result<void, OrderError>> {
        return (await this.call(spec, "POST", JSON.stringify(order))).map(() => undefined);
    }

    private async call(spec: EndpointSpec, method: string, body?: string): Promise<Result<HttpReply, OrderError>> {
        const host = spec.address.includes(":") ? `[${spec.address}]` : spec.address;
        const url = new URL(`http://${host}:${spec.port}/orders`);
        const reply = await callHttp({ url, method, body, timeoutMs: TIMEOUT_MS, agent: this.agent });
        if (reply.isErr()) {
            return err(new OrderError("unreachable", reply.error.message));
        }
        if (reply.value.status === STALE_STATUS) {
            return err(new OrderError("stale", "the endpoint has accepted an order with a higher fencing token"));
        }
        return reply.value.status >= FIRST_ERROR_STATUS
            ? err(new OrderError("refused", `status ${reply.value.status}`))
            : ok(reply.value);
    }
}
