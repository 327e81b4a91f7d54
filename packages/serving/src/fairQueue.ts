/** What the queue needs to know about an entry; given with `add` of p-queue. */
export interface FairQueueOptions {
    readonly organisation?: string;
    /** Share relative to other organisations. */
    readonly weight?: number;
    /** Work that the entry stands for, in the same unit for all entries. */
    readonly cost?: number;
    readonly id?: string;
    readonly priority?: number;
    readonly signal?: AbortSignal;
}

type Run = () => Promise<unknown>;

interface Entry {
    readonly run: Run;
    readonly id: string | undefined;
    readonly cost: number;
}

interface Lane {
    readonly entries: Entry[];
    weight: number;
    deficit: number;
}

/**
 * Queue class for p-queue: deficit round robin among organisations, first in first out within one. An organisation
 * that queues much delays only itself.
 */
export class FairQueue {
    private readonly lanes = new Map<string, Lane>();
    /** Organisations with entries, the one to be served next in front. */
    private rotation: string[] = [];
    private count = 0;

    /** Number of entries that wait. */
    get size(): number {
        return this.count;
    }

    /**
     * @param run - The task.
     * @param options - Whose it is and what it costs.
     */
    enqueue(run: Run, options: Partial<FairQueueOptions> = {}): void {
        const organisation = options.organisation ?? "";
        let lane = this.lanes.get(organisation);
        if (lane === undefined) {
            lane = { entries: [], weight: 1, deficit: 0 };
            this.lanes.set(organisation, lane);
            this.rotation.push(organisation);
        }
        lane.weight = options.weight ?? 1;
        lane.entries.push({ run, id: options.id, cost: options.cost ?? 1 });
        this.count += 1;
    }

    /** @returns The next task, or `undefined` when none waits. */
    dequeue(): Run | undefined {
        for (;;) {
            const organisation = this.rotation[0];
            const lane = organisation === undefined ? undefined : this.lanes.get(organisation);
            if (organisation === undefined || lane === undefined) {
                return undefined;
            }
            const entry = lane.entries[0];
            if (entry !== undefined && lane.deficit >= entry.cost) {
                lane.entries.shift();
                lane.deficit -= entry.cost;
                this.count -= 1;
                this.dropLaneIfEmpty(organisation, lane);
                return entry.run;
            }
            lane.deficit += lane.weight;
            this.rotation.push(this.rotation.shift() ?? organisation);
        }
    }

    /**
     * @param unusedOptions - Ignored: entries have no priority.
     * @returns All tasks that wait.
     */
    filter(unusedOptions: Readonly<Partial<FairQueueOptions>>): Run[] {
        return [...this.lanes.values()].flatMap(lane => lane.entries.map(entry => entry.run));
    }

    /** Entries have no priority; the organisation's share decides. */
    setPriority(): void {
        throw new Error("entries of a fair queue have no priority");
    }

    /**
     * @param id - Identity given at `enqueue`.
     */
    remove(id: string): void {
        for (const [organisation, lane] of this.lanes) {
            const index = lane.entries.findIndex(entry => entry.id === id);
            if (index >= 0) {
                lane.entries.splice(index, 1);
                this.count -= 1;
                this.dropLaneIfEmpty(organisation, lane);
                return;
            }
        }
    }

    private dropLaneIfEmpty(organisation: string, lane: Lane): void {
        if (lane.entries.length === 0) {
            this.lanes.delete(organisation);
            this.rotation = this.rotation.filter(other => other !== organisation);
        }
    }
}
