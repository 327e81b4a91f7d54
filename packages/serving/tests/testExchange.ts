import { type Exchange, newExchange, type ResponseSink, type WorkClass } from "../src";

/** Accepts a response and drops it. */
const DROPPING_SINK: ResponseSink = {
    hasBegun: false,
    begin: () => undefined,
    write: () => undefined,
    end: () => undefined,
    abort: () => undefined,
};

/**
 * @param workClass - Class of work.
 * @param body - The request's body.
 * @returns A request on an idempotent route that has passed the filters before the attempts.
 */
export function newResolvedExchange(workClass: WorkClass, body: string): Exchange {
    const exchange = newExchange({
        requestId: "r1",
        workClass,
        method: "POST",
        path: "/",
        headers: {},
        body: Buffer.from(body),
        sink: DROPPING_SINK,
        abortController: new AbortController(),
        deadlineAtMs: Infinity,
    });
    exchange.service = { service: "lm" } as never;
    exchange.route = { idempotent: true } as never;
    return exchange;
}
