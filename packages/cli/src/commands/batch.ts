import { createReadStream } from "node:fs";
import { stat } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import type { DaemonClient } from "../client";
import { CliError } from "../errors";
import type { Printer } from "../output";

const POLL_INTERVAL_MS = 1_000;

interface JobView {
    readonly id: string;
    readonly state: string;
    readonly due_at: string;
    readonly request_counts?: { total: number; completed: number; failed: number; pending: number; };
}

interface ResultPage {
    readonly results: readonly { custom_id: string; outcome: string; status?: number; reason?: string; }[];
    readonly next_chunk?: number;
}

/** Options of `batch submit`. */
export interface SubmitOptions {
    readonly idempotencyKey: string | undefined;
    /** Deadline of the job, in ISO 8601. */
    readonly dueAt: string | undefined;
    /** Whether to show progress until the job has ended. */
    readonly isFollowing: boolean;
}

/** Commands for batch jobs. */
export class BatchCommands {
    /**
     * @param client - Client of the daemon.
     * @param printer - Prints results.
     */
    constructor(private readonly client: DaemonClient, private readonly printer: Printer) {}

    /**
     * Submits a job.
     *
     * @param file - Path of a file with one item per line, as JSON.
     * @param options - Idempotency key and deadline of the job, and whether to wait for its end.
     */
    async submit(file: string, options: SubmitOptions): Promise<void> {
        const fileStats = await stat(file).catch(() => undefined);
        if (fileStats?.isFile() !== true) {
            throw new CliError("usage", `${file} can't be read`);
        }
        if (options.idempotencyKey === undefined) {
            throw new CliError(
                "usage",
                "--idempotency-key is required: submitting a job again with the same key doesn't create a second job",
            );
        }
        const headers: Record<string, string> = { "idempotency-key": options.idempotencyKey };
        if (options.dueAt !== undefined) {
            headers["x-due-at"] = options.dueAt;
        }
        const job = await this.client.call<JobView>("POST", "/v1/batches", createReadStream(file), headers);
        this.printer.print(job, [{ id: job.id, state: job.state, due: job.due_at }]);
        if (options.isFollowing) {
            await this.waitUntilEnded(job.id);
        }
    }

    /**
     * Prints the state of a job and the number of its items in each state.
     *
     * @param jobId - Id of the job.
     */
    async status(jobId: string): Promise<void> {
        const job = await this.client.call<JobView>("GET", `/v1/batches/${jobId}`);
        this.printer.print(job, [{ id: job.id, state: job.state, due: job.due_at, ...job.request_counts }]);
    }

    /**
     * Prints the available results, one JSON line each, reading them page by page.
     *
     * @param jobId - Id of the job.
     */
    async results(jobId: string): Promise<void> {
        let chunkIndex: number | undefined = 0;
        while (chunkIndex !== undefined) {
            const page: ResultPage = await this.client.call<ResultPage>(
                "GET",
                `/v1/batches/${jobId}/results?chunk=${chunkIndex}`,
            );
            for (const result of page.results) {
                process.stdout.write(`${JSON.stringify(result)}\n`);
            }
            chunkIndex = page.next_chunk;
        }
    }

    /**
     * Cancels a job and prints its state.
     *
     * @param jobId - Id of the job.
     */
    async cancel(jobId: string): Promise<void> {
        const job = await this.client.call<JobView>("POST", `/v1/batches/${jobId}/cancel`);
        this.printer.print(job, [{ id: job.id, state: job.state }]);
    }

    private async waitUntilEnded(jobId: string): Promise<void> {
        for (;;) {
            const job = await this.client.call<JobView>("GET", `/v1/batches/${jobId}`);
            const counts = job.request_counts;
            this.printer.printProgress(
                `${job.state}: ${counts?.completed ?? 0} completed, ${counts?.failed ?? 0} failed, ${
                    counts?.pending ?? 0
                } pending`,
            );
            if (job.state !== "open") {
                return;
            }
            await delay(POLL_INTERVAL_MS);
        }
    }
}
