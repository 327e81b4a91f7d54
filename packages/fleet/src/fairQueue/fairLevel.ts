import { copyFlat } from "../copyFlat";
import type { PlaceRequest } from "../types";

/** A waiting request, as far as the order depends on it. */
export interface FairEntry {
    readonly request: PlaceRequest;
    /** Order among requests within their organisations' shares, and among the requests of an organisation. */
    readonly rank: number;
    /** Work in mean requests. */
    readonly work: number;
}

/** Returns how much work of an organisation its share still covers, in mean requests. */
export type Headroom = (organisation: string) => number;

/** Requests of one organisation that wait, by rank, and the virtual time at which the first of them is to start. */
interface Flow<T> {
    readonly waiting: T[];
    startTag: number;
    weight: number | undefined;
}

/** An entry and its place in the order. */
interface TaggedEntry<T> {
    readonly entry: T;
    /** Virtual time at which it starts; `WITHIN_SHARE` for those that their organisation's share covers. */
    readonly startTag: number;
}

const WITHIN_SHARE = -1;

/**
 * Fair queueing among organisations of one priority. Requests that their organisation's share of the places covers come
 * first, by rank. The others follow by weighted fair queueing: virtual time advances with the work that is served, and an
 * organisation's next request starts after the virtual time that its earlier work takes at the organisation's weight. An
 * organisation that had nothing waiting starts at the present virtual time, so that it keeps no unused share; all is
 * forgotten once nothing waits.
 */
export class FairLevel<T extends FairEntry> {
    private flows = new Map<string, Flow<T>>();
    private virtualTime = 0;
    private count = 0;

    /** Number of entries. */
    get size(): number {
        return this.count;
    }

    /**
     * @param entry - An entry to add.
     */
    add(entry: T): void {
        const { organisation, weight } = entry.request;
        let flow = this.flows.get(organisation);
        if (flow === undefined) {
            flow = { waiting: [], startTag: this.virtualTime, weight };
            this.flows.set(organisation, flow);
        }
        if (flow.waiting.length === 0) {
            flow.startTag = Math.max(flow.startTag, this.virtualTime);
        }
        flow.weight = weight ?? flow.weight;
        insertByRank(flow.waiting, entry);
        this.count += 1;
    }

    /**
     * @param entry - An entry to remove.
     * @param isServed - Whether its work counts towards its organisation's share.
     * @returns Whether it was here.
     */
    remove(entry: T, isServed: boolean): boolean {
        const flow = this.flows.get(entry.request.organisation);
        const position = flow?.waiting.indexOf(entry) ?? -1;
        if (flow === undefined || position < 0) {
            return false;
        }
        if (isServed) {
            this.virtualTime += entry.work / this.getActiveWeight();
            flow.startTag += entry.work / (flow.weight ?? this.getMeanWeight());
        }
        flow.waiting.splice(position, 1);
        this.count -= 1;
        if (this.count === 0) {
            this.clear();
        }
        return true;
    }

    /**
     * @param getHeadroom - Returns how much work of an organisation its share still covers.
     * @returns All entries in the order in which they are to be served.
     */
    getOrder(getHeadroom: Headroom): T[] {
        const tagged: TaggedEntry<T>[] = [];
        const meanWeight = this.getMeanWeight();
        for (const [organisation, { waiting, startTag: firstTag, weight = meanWeight }] of this.flows) {
            if (waiting.length === 0) {
                continue;
            }
            let startTag = firstTag;
            let headroom = getHeadroom(organisation);
            for (const entry of waiting) {
                tagged.push({ entry, startTag: headroom > 0 ? WITHIN_SHARE : startTag });
                headroom -= entry.work;
                startTag += entry.work / weight;
            }
        }
        tagged.sort((left, right) => left.startTag - right.startTag || left.entry.rank - right.entry.rank);
        return tagged.map(({ entry }) => entry);
    }

    /** Removes all entries and forgets what was served. */
    clear(): void {
        this.flows.clear();
        this.virtualTime = 0;
        this.count = 0;
    }

    /** @returns A copy, to which entries can be added without effect on this level. */
    copy(): FairLevel<T> {
        const copy = copyFlat(this);
        copy.flows = new Map([...this.flows].map(([name, flow]) => [name, { ...flow, waiting: [...flow.waiting] }]));
        return copy;
    }

    private getActiveWeight(): number {
        const meanWeight = this.getMeanWeight();
        let sum = 0;
        for (const { waiting, startTag, weight = meanWeight } of this.flows.values()) {
            sum += waiting.length > 0 || startTag > this.virtualTime ? weight : 0;
        }
        return sum;
    }

    /** Weight of organisations without one: the mean of the others, so that no unit is mixed with another. */
    private getMeanWeight(): number {
        let sum = 0;
        let count = 0;
        for (const { weight } of this.flows.values()) {
            if (weight !== undefined) {
                sum += weight;
                count += 1;
            }
        }
        return count === 0 ? 1 : sum / count;
    }
}

function insertByRank<T extends FairEntry>(entries: T[], entry: T): void {
    let position = entries.length;
    while (position > 0 && (entries[position - 1] as T).rank > entry.rank) {
        position -= 1;
    }
    entries.splice(position, 0, entry);
}
