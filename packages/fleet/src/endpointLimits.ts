import { LRUCache } from "lru-cache";
import type { EndpointEntry, EndpointLimit } from "./types";

/** A lower limit counts as this one, so that a response tells when it has ended. In requests per second. */
const MIN_RATE_PER_S = 0.25;
const MAX_LIMITS = 2_048;

interface Statement {
    readonly startedAt: number | undefined;
    /** `undefined` if a limit has ended. */
    readonly ratePerS: number | undefined;
    readonly statedAtMs: number;
}

/**
 * The limits that endpoints have named. The latest statement about a process counts, whichever instance it reached. A
 * limit doesn't lapse with time or with the endpoint's registration: only a response tells that it has ended, or a new
 * process of the endpoint.
 */
export class EndpointLimits {
    private readonly statements = new LRUCache<string, Statement>({ max: MAX_LIMITS });

    /**
     * @param limit - What an endpoint has said, or what another instance reports of it.
     * @returns Whether this changes its limit.
     */
    record({ endpointId, startedAt, ratePerS, ageMs }: EndpointLimit): boolean {
        const known = this.statements.peek(endpointId);
        const statedAtMs = performance.now() - ageMs;
        if (known !== undefined && !isNewer({ startedAt, ratePerS, statedAtMs }, known)) {
            return false;
        }
        const knownRatePerS = known?.startedAt === startedAt ? known?.ratePerS : undefined;
        if (ratePerS === undefined && knownRatePerS === undefined) {
            return false;
        }
        this.statements.set(endpointId, { startedAt, ratePerS, statedAtMs });
        return ratePerS !== knownRatePerS;
    }

    /**
     * @param endpoint - An endpoint as listed.
     * @returns The limit that this process of it has named, as a statement that can be reported.
     */
    get({ endpointId, startedAt }: Pick<EndpointEntry, "endpointId" | "startedAt">): EndpointLimit | undefined {
        const statement = this.getStatement({ endpointId, startedAt });
        return statement?.ratePerS === undefined ? undefined : statement;
    }

    /**
     * @param endpoint - An endpoint as listed.
     * @returns The latest statement about this process of it, which may say that a limit has ended.
     */
    getStatement(
        { endpointId, startedAt }: Pick<EndpointEntry, "endpointId" | "startedAt">,
    ): EndpointLimit | undefined {
        const statement = this.statements.peek(endpointId);
        return statement === undefined || statement.startedAt !== startedAt
            ? undefined
            : toLimit(endpointId, statement);
    }

    /**
     * @param endpoint - An endpoint as listed.
     * @returns Requests per second that it may be sent by all instances together; `undefined` without a limit.
     */
    getRatePerS(endpoint: Pick<EndpointEntry, "endpointId" | "startedAt">): number | undefined {
        // Asked for each endpoint at each place request, whereas limits are rare.
        if (this.statements.size === 0) {
            return undefined;
        }
        const ratePerS = this.get(endpoint)?.ratePerS;
        return ratePerS === undefined ? undefined : Math.max(MIN_RATE_PER_S, ratePerS);
    }

    /** @returns All limits in force, for a coordinator that may not know them. */
    getAll(): EndpointLimit[] {
        return [...this.statements.entries()]
            .filter(([, { ratePerS }]) => ratePerS !== undefined)
            .map(([endpointId, statement]) => toLimit(endpointId, statement));
    }
}

/** Responses of an earlier process may arrive late, and so may reports of other instances. */
function isNewer(statement: Statement, known: Statement): boolean {
    return statement.startedAt === known.startedAt
        ? statement.statedAtMs > known.statedAtMs
        : (statement.startedAt ?? Infinity) > (known.startedAt ?? 0);
}

function toLimit(endpointId: string, { startedAt, ratePerS, statedAtMs }: Statement): EndpointLimit {
    return { endpointId, startedAt, ratePerS, ageMs: performance.now() - statedAtMs };
}
