import { readdirSync, readFileSync } from "node:fs";

const SAMPLE_MS = 20;

/** Records the highest resident memory and number of descriptors of a process. */
export class ProcessWatch {
    residentBytes = 0;
    descriptors = 0;
    private readonly timer = setInterval(() => this.sample(), SAMPLE_MS);

    /**
     * @param pid - Id of the process.
     */
    constructor(private readonly pid: number) {}

    /** Ends the sampling. */
    stop(): void {
        clearInterval(this.timer);
    }

    private sample(): void {
        try {
            const [, kilobytes] = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.pid}/status`, "utf8")) ?? [];
            this.residentBytes = Math.max(this.residentBytes, Number(kilobytes ?? 0) * 1_024);
            this.descriptors = Math.max(this.descriptors, readdirSync(`/proc/${this.pid}/fd`).length);
        }
        catch {
            // The process has ended, which the test checks.
        }
    }
}
