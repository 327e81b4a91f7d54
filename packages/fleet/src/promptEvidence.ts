import { type BlockedPrompt, type EndpointCrash, type OwnEndpointCrash, PromptPartTracker } from "@heatherline/common";
import { LRUCache } from "lru-cache";

/** How long this instance reports a crash to each new coordinator, in milliseconds. */
const CRASH_REPORT_TTL_MS = 120_000;
/** Maximum number of remembered crash reports. */
const MAX_CRASH_REPORTS = 64;
/** A part of prompts that succeeds often is reported once in this time, in milliseconds. */
const SUCCESS_REPORT_INTERVAL_MS = 500;
const MAX_REPORTED_PARTS = 4_096;

/**
 * What this instance has seen itself of parts of prompts that may crash endpoints. It is reported to those who grant
 * places; the instance decides by it only while it is alone.
 */
export class PromptEvidence {
    private readonly partTracker = new PromptPartTracker(() => undefined);
    private readonly successReportedAtMs = new LRUCache<string, number>({ max: MAX_REPORTED_PARTS });
    private recentCrashes: { readonly report: EndpointCrash; readonly atMs: number; }[] = [];

    /**
     * @param parts - Shared parts of a request's prompt.
     * @returns Whether they include blocked ones, as far as this instance knows.
     */
    isBlocked(parts: readonly string[]): boolean {
        return this.partTracker.isBlocked(parts);
    }

    /**
     * @param parts - Shared parts of a request's prompt.
     * @returns Whether they include blocked ones, without ending the blocks that have expired.
     */
    peekIsBlocked(parts: readonly string[]): boolean {
        return this.partTracker.peekAdmission(parts) !== "run";
    }

    /**
     * @param prompts - The blocks that the store lists.
     */
    adopt(prompts: readonly BlockedPrompt[]): void {
        this.partTracker.adopt(prompts);
    }

    /**
     * @param parts - Shared parts of the prompt of a request that did not crash its endpoint.
     * @returns Those whose success is to be reported now.
     */
    recordSuccess(parts: readonly string[]): string[] {
        const nowMs = performance.now();
        this.partTracker.recordSuccess(parts);
        const unreported = parts.filter(part =>
            nowMs - (this.successReportedAtMs.get(part) ?? -Infinity) > SUCCESS_REPORT_INTERVAL_MS
        );
        unreported.forEach(part => this.successReportedAtMs.set(part, nowMs));
        return unreported;
    }

    /**
     * @param crash - A crash that this instance has seen.
     * @returns The report of it; `undefined` if no part of the prompt can be to blame.
     */
    recordCrash(crash: OwnEndpointCrash): EndpointCrash | undefined {
        const report = this.partTracker.recordOwnCrash(crash);
        if (report !== undefined) {
            this.recentCrashes = [...this.recentCrashes, { report, atMs: performance.now() }].slice(-MAX_CRASH_REPORTS);
        }
        return report;
    }

    /** @returns Crashes that this instance has seen recently, for a coordinator that may not know of them. */
    getRecentCrashes(): EndpointCrash[] {
        const nowMs = performance.now();
        this.recentCrashes = this.recentCrashes.filter(({ atMs }) => nowMs - atMs < CRASH_REPORT_TTL_MS);
        return this.recentCrashes.map(({ report, atMs }) => ({ ...report, ageMs: nowMs - atMs }));
    }
}
