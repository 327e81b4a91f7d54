import type { LimitError, RateLimiter } from "@heatherline/limits";
import { err } from "neverthrow";
import { Refusal } from "../errors";
import { type Exchange, type Filter, getEndReason, type Next, type Outcome } from "../exchange";

/** Enforces the rate limit of the request's organisation. */
export class LimitFilter implements Filter {
    readonly name = "limit";

    /**
     * @param limiter - Decides whether a request is within the rate.
     */
    constructor(private readonly limiter: RateLimiter) {}

    async handle(exchange: Exchange, next: Next): Promise<Outcome> {
        const { organisation, service } = exchange;
        if (organisation === undefined || service === undefined) {
            return next(exchange);
        }
        const subject = { service: service.service, organisation: organisation.organisation };
        const permit = await this.limiter.acquire(subject, organisation, exchange.abortController.signal);
        if (permit.isErr()) {
            return err(toRefusal(permit.error, exchange));
        }
        exchange.admittedAt = performance.timeOrigin + performance.now();
        const outcome = await next(exchange);
        if (outcome.isErr() && outcome.error.notRun === true) {
            permit.value.refund();
        }
        return outcome;
    }
}

function toRefusal(error: LimitError, exchange: Exchange): Refusal {
    switch (error.kind) {
        case "exceeded":
            return new Refusal("rate-limited", 429, error.message, true, error.retryAfterMs, error);
        case "unavailable":
            return new Refusal("limit-unavailable", 503, error.message, true, error.retryAfterMs, error);
        case "aborted":
            return getEndReason(exchange) === "deadline"
                ? new Refusal("deadline-passed", 504, "the deadline passed before the request ran", true, 0, error)
                : new Refusal("caller-gone", 499, "aborted before the request ran", true, undefined, error);
    }
}
