/** Options of one entry, passed to `add` of p-queue. */
export interface FairQueueOptions {
    readonly organisation?: string;
    /** Weight of the organisation relative to the others. */
    readonly weight?: number;
    /** Cost of the entry, in the same unit for all entries. */
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

interface OrganisationQueue {
    readonly entries: Entry[];
    weight: number;
    deficit: number;
}

/**
 * Queue class for p-queue: deficit round robin among organisations, first in first out within one. A backlog of one
 * organisation delays only that organisation.
 */
export class FairQueue {
    private readonly queues = new Map<string, OrganisationQueue>();
    /** Organisations with entries, the next one to serve first. */
    private rotation: string[] = [];
    private count = 0;

    /** Number of waiting entries. */
    get size(): number {
        return this.count;
    }

    /**
     * @param run - The task.
     * @param options - Its organisation, weight and cost.
     */
    enqueue(run: Run, options: Partial<FairQueueOptions> = {}): void {
        const organisation = options.organisation ?? "";
        let queue = this.queues.get(organisation);
        if (queue === undefined) {
            queue = { entries: [], weight: 1, deficit: 0 };
            this.queues.set(organisation, queue);
            this.rotation.push(organisation);
        }
        queue.weight = options.weight ?? 1;
        queue.entries.push({ run, id: options.id, cost: options.cost ?? 1 });
        this.count += 1;
    }

    /** @returns The next task, or `undefined` if none is waiting. */
    dequeue(): Run | undefined {
        for (;;) {
            const organisation = this.rotation[0];
            const queue = organisation === undefined ? undefined : this.queues.get(organisation);
            if (organisation === undefined || queue === undefined) {
                return undefined;
            }
            const entry = queue.entries[0];
            if (entry !== undefined && queue.deficit >= entry.cost) {
                queue.entries.shift();
                queue.deficit -= entry.cost;
                this.count -= 1;
                this.dropQueueIfEmpty(organisation, queue);
                return entry.run;
            }
            queue.deficit += queue.weight;
            this.rotation.push(this.rotation.shift() ?? organisation);
        }
    }

    /**
     * @param unusedOptions - Ignored, as entries have no priority.
     * @returns All waiting tasks.
     */
    filter(unusedOptions: Readonly<Partial<FairQueueOptions>>): Run[] {
        return [...this.queues.values()].flatMap(queue => queue.entries.map(entry => entry.run));
    }

    /** Not supported: entries have no priority, the weight of the organisation decides. */
    setPriority(): void {
        throw new Error("entries of a fair queue have no priority");
    }

    /**
     * @param id - Identity of the entry, as passed to `enqueue`.
     */
    remove(id: string): void {
        for (const [organisation, queue] of this.queues) {
            const index = queue.entries.findIndex(entry => entry.id === id);
            if (index >= 0) {
                queue.entries.splice(index, 1);
                this.count -= 1;
                this.dropQueueIfEmpty(organisation, queue);
                return;
            }
        }
    }

    private dropQueueIfEmpty(organisation: string, queue: OrganisationQueue): void {
        if (queue.entries.length === 0) {
            this.queues.delete(organisation);
            this.rotation = this.rotation.filter(other => other !== organisation);
        }
    }
}
