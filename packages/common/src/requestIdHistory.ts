import { hash } from "node:crypto";

/** Requests that one connection carries, after which it is closed. */
export const MAX_REQUESTS_PER_CONNECTION = 128;

/**
 * The ids of all requests that one connection has carried. Ids are kept as digests, so that long ones take no more memory;
 * two ids with the same digest cost a new connection, nothing else.
 */
export class RequestIdHistory {
    private readonly digests = new Set<number>();

    /** Whether the connection must not carry another request. */
    get isFull(): boolean {
        return this.digests.size >= MAX_REQUESTS_PER_CONNECTION;
    }

    /**
     * @param digest - Digest of a request id.
     * @returns Whether the connection has carried a request with this id.
     */
    has(digest: number): boolean {
        return this.digests.has(digest);
    }

    /**
     * @param digest - Digest of the id of a request that the connection now carries.
     */
    add(digest: number): void {
        this.digests.add(digest);
    }
}

/**
 * @param requestId - A request id.
 * @returns Its digest.
 */
export function toRequestIdDigest(requestId: string): number {
    return hash("sha1", requestId, "buffer").readInt32BE();
}
