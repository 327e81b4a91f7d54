import { authenticateKey, type ConfigReplica } from "@heatherline/config";
import { err } from "neverthrow";
import { Refusal } from "../errors";
import { type Exchange, type Filter, getEndReason, type Next, type Outcome } from "../exchange";

const BEARER = /^Bearer\s+(\S+)$/i;

/** Exchanges in flight, by API key, so that the withdrawal of a key also ends its running requests. */
export class InFlightRegistry {
    private readonly byKey = new Map<string, Set<Exchange>>();
    private readonly all = new Set<Exchange>();

    /** Number of exchanges in flight. */
    get size(): number {
        return this.all.size;
    }

    /**
     * @param exchange - An exchange that begins.
     */
    add(exchange: Exchange): void {
        this.all.add(exchange);
        if (exchange.keyId !== undefined) {
            const exchanges = this.byKey.get(exchange.keyId) ?? new Set<Exchange>();
            exchanges.add(exchange);
            this.byKey.set(exchange.keyId, exchanges);
        }
    }

    /**
     * @param exchange - An exchange that has ended.
     */
    remove(exchange: Exchange): void {
        this.all.delete(exchange);
        if (exchange.keyId !== undefined) {
            const exchanges = this.byKey.get(exchange.keyId);
            exchanges?.delete(exchange);
            if (exchanges?.size === 0) {
                this.byKey.delete(exchange.keyId);
            }
        }
    }

    /**
     * Aborts all exchanges of a key.
     *
     * @param keyId - The withdrawn key.
     * @returns Number of aborted exchanges.
     */
    abortByKey(keyId: string): number {
        const exchanges = this.byKey.get(keyId) ?? new Set<Exchange>();
        for (const exchange of exchanges) {
            exchange.abortController.abort("key-withdrawn");
        }
        return exchanges.size;
    }
}

/** Authenticates the API key of a request and sets its organisation. The key itself is not passed on. */
export class AuthenticateFilter implements Filter {
    readonly name = "identify";

    /**
     * @param replica - The current configuration.
     * @param inFlight - Exchanges in flight.
     * @param getConfigAgeMs - Time since this instance could last receive withdrawals of keys, in milliseconds.
     */
    constructor(
        private readonly replica: ConfigReplica,
        private readonly inFlight: InFlightRegistry,
        private readonly getConfigAgeMs: () => number,
    ) {}

    async handle(exchange: Exchange, next: Next): Promise<Outcome> {
        const refusal = this.authenticate(exchange);
        if (refusal !== undefined) {
            return err(refusal);
        }
        this.inFlight.add(exchange);
        try {
            const outcome = await next(exchange);
            if (outcome.isErr() && getEndReason(exchange) === "key-withdrawn") {
                const notRun = exchange.isSent ? "unknown" : true;
                return err(new Refusal("key-withdrawn", 401, "the key has been withdrawn", notRun));
            }
            return outcome;
        }
        finally {
            this.inFlight.remove(exchange);
        }
    }

    private authenticate(exchange: Exchange): Refusal | undefined {
        const { route, service, headers } = exchange;
        if (route?.access === "open" || service === undefined) {
            return undefined;
        }
        const secretKey = BEARER.exec(headers.authorization ?? "")?.[1];
        if (secretKey === undefined) {
            return new Refusal("key-missing", 401, "a key is needed: Authorization: Bearer hl_...", true);
        }
        if (this.getConfigAgeMs() > service.keyListMaxAgeS * 1_000) {
            const message = "keys can't be checked: withdrawals could not be received for too long";
            return new Refusal("store-unavailable", 503, message, true, RETRY_AFTER_MS);
        }
        const key = authenticateKey(secretKey, this.replica);
        if (key === undefined) {
            return new Refusal("key-invalid", 401, "the key is not known or has been withdrawn", true);
        }
        const organisation = service.organisations.find(other => other.organisation === key.organisation);
        if (organisation === undefined) {
            const message = `${key.organisation} may not call ${service.service}`;
            return new Refusal("organisation-not-allowed", 403, message, true);
        }
        exchange.keyId = key.keyId;
        exchange.organisation = organisation;
        return undefined;
    }
}

const RETRY_AFTER_MS = 5_000;
