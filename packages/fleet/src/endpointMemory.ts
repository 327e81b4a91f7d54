import type { EndpointEntry, PlaceRequest } from "./types";

/** The tokens that a request takes of its endpoint's memory; absent from instances of earlier releases. */
export type RequestTokens = Pick<PlaceRequest, "promptTokens" | "outputTokens">;

/** A request that runs at an endpoint, and its tokens. */
export interface TokenPlace {
    readonly placeId: string;
    readonly endpointId: string;
    /** Prompt tokens and maximum of output tokens. */
    readonly tokens?: number | undefined;
}

/** What the memory of endpoints is known from. */
export interface EndpointMemoryDependencies {
    /**
     * @param service - A service.
     * @returns Tokens that one endpoint of it holds; 0 if there is no limit.
     */
    getMemoryTokens?(service: string): number;
    /**
     * @param entry - An endpoint.
     * @returns Fraction of the endpoint that may be used, between 0 and 1.
     */
    getMemoryFraction?(entry: EndpointEntry): number;
    /**
     * @param endpointId - An endpoint.
     * @returns Tokens of the requests there that others have granted places for.
     */
    getOtherTokens?(endpointId: string): number;
}

/**
 * Counts the tokens of the requests that run at each endpoint. An endpoint crashes if these exceed its memory, so that none
 * is sent more.
 */
export class EndpointMemory {
    private tokensByPlace = new Map<string, number>();
    private usedTokens = new Map<string, number>();

    /**
     * @param deps - What the memory of endpoints is known from.
     */
    constructor(private readonly deps: EndpointMemoryDependencies) {}

    /** @returns A copy, to which places can be added without effect on this one. */
    copy(): EndpointMemory {
        const copy = new EndpointMemory(this.deps);
        copy.tokensByPlace = new Map(this.tokensByPlace);
        copy.usedTokens = new Map(this.usedTokens);
        return copy;
    }

    /**
     * @param place - A place in use; counted once.
     */
    add({ placeId, endpointId, tokens = 0 }: TokenPlace): void {
        if (tokens > 0 && !this.tokensByPlace.has(placeId)) {
            this.tokensByPlace.set(placeId, tokens);
            this.usedTokens.set(endpointId, this.getUsedTokens(endpointId) + tokens);
        }
    }

    /**
     * @param place - A place that is released.
     */
    remove({ placeId, endpointId }: TokenPlace): void {
        const tokens = this.tokensByPlace.get(placeId);
        if (tokens === undefined) {
            return;
        }
        this.tokensByPlace.delete(placeId);
        const left = this.getUsedTokens(endpointId) - tokens;
        if (left > 0) {
            this.usedTokens.set(endpointId, left);
        }
        else {
            this.usedTokens.delete(endpointId);
        }
    }

    /**
     * @param entry - An endpoint.
     * @param request - A request.
     * @returns How many such requests its memory has room for; infinite without a limit.
     */
    countRoom(entry: EndpointEntry, request: RequestTokens): number {
        const limit = this.deps.getMemoryTokens?.(entry.service) ?? 0;
        const tokens = getTokens(request);
        if (limit <= 0 || tokens === 0) {
            return Infinity;
        }
        const usable = limit * (this.deps.getMemoryFraction?.(entry) ?? 1)
            - (this.deps.getOtherTokens?.(entry.endpointId) ?? 0);
        return Math.max(0, Math.floor((usable - this.getUsedTokens(entry.endpointId)) / tokens));
    }

    /**
     * @param service - A service.
     * @param request - A request.
     * @returns Whether the request alone takes more than an endpoint of the service holds.
     */
    isTooLarge(service: string, request: RequestTokens): boolean {
        const limit = this.deps.getMemoryTokens?.(service) ?? 0;
        return limit > 0 && getTokens(request) > limit;
    }

    /**
     * @param endpointId - An endpoint.
     * @returns Tokens of the requests that run there.
     */
    getUsedTokens(endpointId: string): number {
        return this.usedTokens.get(endpointId) ?? 0;
    }
}

/**
 * @param request - A request.
 * @returns Its prompt tokens and the maximum of its output tokens.
 */
export function getTokens({ promptTokens = 0, outputTokens = 0 }: RequestTokens): number {
    return Math.max(0, promptTokens) + Math.max(0, outputTokens);
}
