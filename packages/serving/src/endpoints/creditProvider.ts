import type { CreditDemand, CreditGrant } from "./creditAllocator";

/**
 * Requests credits from the owners of endpoints. The owner of an endpoint is the one instance that divides its
 * concurrency limit among instances, with an `EndpointCreditAllocator`.
 */
export interface CreditProvider {
    /**
     * @param demands - Endpoint to demand.
     * @returns Endpoint to grant, without the endpoints whose owner can't be reached.
     */
    request(demands: ReadonlyMap<string, CreditDemand>): Promise<ReadonlyMap<string, CreditGrant>>;
    /**
     * Returns the credits that are safe to use while the owner can't be reached.
     *
     * @param endpoint - The endpoint.
     * @param lastGrant - The owner's last grant, if any.
     * @returns Number of credits.
     */
    getFallbackCredits(endpoint: string, lastGrant: CreditGrant | undefined): number;
}
