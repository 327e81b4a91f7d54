import { copyFlat } from "../copyFlat";
import type { PlaceRequest } from "../types";
import type { Headroom } from "./fairLevel";

/**
 * Requests of an organisation that may exceed its share before they count as surplus. Small organisations have shares of
 * one or two places, and their requests come irregularly.
 */
const BURST_REQUESTS = 3;

/** Requests by whether their organisation uses or asks for more than its share of the places. */
export interface ShareCounts {
    readonly waitingOver: number;
    readonly waitingWithin: number;
    /** Since the dispatcher was created. */
    readonly refusedOver: number;
    /** Since the dispatcher was created. */
    readonly refusedWithin: number;
}

/** Waiting requests by organisation. */
export type WaitingCounts = ReadonlyMap<string, number>;

/**
 * Shares of the organisations in the places that online requests of a service hold. An organisation's share is its weight's
 * part of the weights of all that hold places or wait.
 */
export class FairShares {
    private weights = new Map<string, number>();
    private running = new Map<string, number>();
    private refusedOver = 0;
    private refusedWithin = 0;

    /** @returns A copy, in which requests can be recorded without effect on these shares. */
    copy(): FairShares {
        const copy = copyFlat(this);
        copy.weights = new Map(this.weights);
        copy.running = new Map(this.running);
        return copy;
    }

    /**
     * @param request - An online request; its weight is used from now on.
     */
    recordRequest({ organisation, weight }: PlaceRequest): void {
        if (weight !== undefined) {
            this.weights.set(organisation, weight);
        }
    }

    /**
     * @param organisation - Organisation that gets or releases an online place.
     * @param change - 1 or -1.
     */
    changeRunning(organisation: string, change: number): void {
        const count = (this.running.get(organisation) ?? 0) + change;
        if (count > 0) {
            this.running.set(organisation, count);
        }
        else {
            this.running.delete(organisation);
        }
    }

    /**
     * @param waiting - Waiting requests.
     * @returns How much work of each organisation its share covers, beyond the places that it holds.
     */
    newHeadroom(waiting: WaitingCounts): Headroom {
        const getShare = this.newShare(waiting);
        return organisation => getShare(organisation) + BURST_REQUESTS - this.getRunning(organisation);
    }

    /**
     * Counts a refusal.
     *
     * @param organisation - Organisation of the request.
     * @param waiting - Waiting requests.
     * @returns The organisation's share and its work in progress, for the log.
     */
    recordRefusal(organisation: string, waiting: WaitingCounts): string {
        const share = this.newShare(waiting)(organisation);
        const running = this.getRunning(organisation);
        const queued = waiting.get(organisation) ?? 0;
        if (running + queued + 1 > share + BURST_REQUESTS) {
            this.refusedOver += 1;
        }
        else {
            this.refusedWithin += 1;
        }
        return `share ${share.toFixed(1)}, holds ${running}, queued ${queued}`;
    }

    /**
     * @param waiting - Waiting requests.
     * @returns Figures for metrics.
     */
    getCounts(waiting: WaitingCounts): ShareCounts {
        const getHeadroom = this.newHeadroom(waiting);
        let waitingOver = 0;
        let waitingWithin = 0;
        for (const [organisation, count] of waiting) {
            if (count > getHeadroom(organisation)) {
                waitingOver += count;
            }
            else {
                waitingWithin += count;
            }
        }
        return { waitingOver, waitingWithin, refusedOver: this.refusedOver, refusedWithin: this.refusedWithin };
    }

    private getRunning(organisation: string): number {
        return this.running.get(organisation) ?? 0;
    }

    /** While requests wait, online requests hold all places that they can get, so that these are what is shared. */
    private newShare(waiting: WaitingCounts): (organisation: string) => number {
        const meanWeight = this.getMeanWeight();
        const getWeight = (organisation: string) => this.weights.get(organisation) ?? meanWeight;
        let places = 0;
        let weightSum = 0;
        for (const [organisation, count] of this.running) {
            places += count;
            weightSum += getWeight(organisation);
        }
        for (const organisation of waiting.keys()) {
            weightSum += this.running.has(organisation) ? 0 : getWeight(organisation);
        }
        return organisation => weightSum === 0 ? places : places * getWeight(organisation) / weightSum;
    }

    private getMeanWeight(): number {
        let sum = 0;
        for (const weight of this.weights.values()) {
            sum += weight;
        }
        return sum === 0 ? 1 : sum / this.weights.size;
    }
}
