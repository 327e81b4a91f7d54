import type { StoreError } from "@heatherline/store";
import type { Result } from "neverthrow";
import type { JobManifest, JobStore } from "./jobStore";

/** A job in the store, without its items. */
interface StoredJob {
    readonly organisation: string;
    readonly route: string;
    readonly isOpen: boolean;
    readonly tokens: number;
}

/** What the jobs in the store add up to, without their items, so that it takes little memory. */
export class StoredJobs {
    private readonly byId: ReadonlyMap<string, StoredJob>;

    /**
     * @param manifests - All jobs in the store.
     */
    constructor(manifests: readonly JobManifest[]) {
        this.byId = new Map(manifests.map(manifest => [manifest.jobId, toStoredJob(manifest)]));
    }

    /**
     * @param jobId - A job.
     * @returns Whether it is in the store.
     */
    has(jobId: string): boolean {
        return this.byId.has(jobId);
    }

    /**
     * @param organisation - Name of an organisation.
     * @param route - Name of a route of batch jobs.
     * @returns Tokens of the organisation's open jobs on the route.
     */
    sumOpenTokens(organisation: string, route: string): number {
        return [...this.byId.values()]
            .filter(job => job.isOpen && job.organisation === organisation && job.route === route)
            .reduce((total, { tokens }) => total + tokens, 0);
    }
}

/**
 * Reads the jobs in the store. Those who ask while they are read share the next reading, so that however many ask, the
 * objects of one reading are in memory, and nobody misses a job that was created before it asked.
 */
export class StoredJobsReader {
    private current: Promise<Result<StoredJobs, StoreError>> | undefined;
    private next: Promise<Result<StoredJobs, StoreError>> | undefined;

    /**
     * @param store - The store of jobs.
     */
    constructor(private readonly store: Pick<JobStore, "list">) {}

    /** @returns The jobs that were in the store when this was called, and maybe later ones. */
    read(): Promise<Result<StoredJobs, StoreError>> {
        if (this.current === undefined) {
            return this.start();
        }
        this.next ??= this.current.then(() => {
            this.next = undefined;
            return this.start();
        });
        return this.next;
    }

    private start(): Promise<Result<StoredJobs, StoreError>> {
        const reading = this.store.list()
            .then(listed => listed.map(manifests => new StoredJobs(manifests)))
            .finally(() => {
                this.current = undefined;
            });
        this.current = reading;
        return reading;
    }
}

function toStoredJob({ organisation, route, state, itemTokens }: JobManifest): StoredJob {
    return { organisation, route, isOpen: state === "open", tokens: itemTokens.reduce((sum, count) => sum + count, 0) };
}
