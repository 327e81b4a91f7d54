import { LRUCache } from "lru-cache";
import { newRequestId } from "./idsAndHashes";
import { type Crash, PromptCrashLog, type Suspect } from "./promptCrashLog";

/** Crashes of endpoints after which a part that occurs in them is blocked; fewer than the five that users tolerate. */
const CRASHES_TO_BLOCK = 3;
/** Different requests among them; one request that crashes endpoints again and again says little about its parts. */
const REQUESTS_TO_BLOCK = 2;
/** A part with which a request has succeeded this recently is not to blame, in milliseconds. */
const SUCCESS_TRUST_MS = 10_000;
/** Crashes count for this long, in milliseconds. */
const CRASH_TTL_MS = 600_000;
const MAX_REPORTS = 2_048;
const MAX_ENDED_BLOCKS = 256;
/** Maximum number of parts whose last success is remembered. */
const MAX_PARTS = 16_384;
/**
 * Delays between the block, the first trial request, the second and so on, in milliseconds; a part that is blocked by
 * mistake is released by the first one, and there are few, since each trial of a bad part crashes an endpoint.
 */
const TRIAL_DELAYS_MS = [6_000, 40_000, 300_000, 1_800_000];
/** A block ends after this time, in milliseconds. */
const BLOCK_TTL_MS = 86_400_000;

/** Reports that an endpoint crashed while it ran a request of which no part of a response had arrived. */
export interface EndpointCrash {
    /** Equal in repetitions of a report. */
    readonly reportId: string;
    readonly endpointId: string;
    /** Identifies the request across its attempts. */
    readonly fingerprint: string;
    /** Shared parts of its prompt that may be to blame. */
    readonly promptParts: readonly string[];
    readonly ageMs: number;
}

/** Parts of prompts that crash endpoints; requests that have all of them are held back. */
export interface BlockedPrompt {
    readonly blockId: string;
    readonly parts: readonly string[];
    /** Requests that were let through to see whether they still crash endpoints. */
    readonly trials: number;
    /** Crashes since then while a request with all of the parts ran. */
    readonly laterCrashes: number;
    /** Milliseconds since the epoch. */
    readonly blockedAt: number;
}

/** The crashes for which a part may be to blame, and the requests with it that ran then. */
interface PartEvidence {
    readonly part: string;
    readonly suspects: ReadonlySet<Suspect>;
    readonly crashes: ReadonlySet<Crash>;
    readonly fingerprints: ReadonlySet<string>;
}

/** A block with the time of its next trial, on the monotonic clock. */
interface ActiveBlock {
    prompt: BlockedPrompt;
    nextTrialAtMs: number;
    /** Whether the store has listed it. */
    isStored: boolean;
}

/** A crash that this instance has seen itself. */
export type OwnEndpointCrash = Pick<EndpointCrash, "reportId" | "endpointId" | "fingerprint" | "promptParts">;

/** Whether a request may run: as any other, as the trial of a block, or not at all. */
export type PromptAdmission = "run" | "trial" | "blocked";

/**
 * Finds parts of prompts that crash each endpoint that begins to respond to them, and blocks the requests that have
 * them. Requests that only ran beside such a request, or share other parts with it, are to be served: a part is blamed
 * only if it occurs in several crashes that no blocked part explains, more often than others, and if no request with it
 * has succeeded since. Parts that can't be told apart are blocked together, in requests that have all of them; a success
 * of a request with one of them clears that one.
 */
export class PromptPartTracker {
    private readonly crashLog = new PromptCrashLog();
    private readonly knownReports = new LRUCache<string, true>({ max: MAX_REPORTS });
    private readonly lastSuccessAtMs = new LRUCache<string, number>({ max: MAX_PARTS });
    private readonly blocks = new Map<string, ActiveBlock>();
    /** Blocks that have ended here, which the store may still list. */
    private readonly endedBlockIds = new LRUCache<string, true>({ max: MAX_ENDED_BLOCKS });

    /**
     * @param onChange - Called with each block that begins, changes or, with `isEnded`, ends.
     */
    constructor(private readonly onChange: (prompt: BlockedPrompt, isEnded: boolean) => void) {}

    /**
     * @param parts - Shared parts of a request's prompt.
     * @returns Whether they include blocked ones.
     */
    isBlocked(parts: readonly string[]): boolean {
        return this.findBlock(parts) !== undefined;
    }

    /**
     * Decides whether a request may run, and counts it if it is the trial of a block.
     *
     * @param parts - Shared parts of its prompt.
     * @returns The decision.
     */
    admit(parts: readonly string[]): PromptAdmission {
        const admission = this.peekAdmission(parts);
        const block = this.findBlock(parts);
        if (admission === "trial" && block !== undefined) {
            this.setPrompt(block, { ...block.prompt, trials: block.prompt.trials + 1 });
        }
        return admission;
    }

    /**
     * Tells what {@link admit} would decide, without counting a trial.
     *
     * @param parts - Shared parts of a request's prompt.
     * @returns The decision.
     */
    peekAdmission(parts: readonly string[]): PromptAdmission {
        const block = [...this.blocks.values()].find(({ prompt }) => !isExpired(prompt) && hasAll(parts, prompt.parts));
        if (block === undefined) {
            return "run";
        }
        return performance.now() < block.nextTrialAtMs ? "blocked" : "trial";
    }

    /**
     * Takes a trial back that was not run, so that the next request with these parts is one.
     *
     * @param parts - Shared parts of the prompt of the request that was admitted as a trial.
     */
    cancelTrial(parts: readonly string[]): void {
        const block = this.findBlock(parts);
        if (block !== undefined) {
            this.setPrompt(block, { ...block.prompt, trials: block.prompt.trials - 1 });
            block.nextTrialAtMs = performance.now();
        }
    }

    /**
     * Records a crash that this instance has seen itself, without the parts that it knows to be sound.
     *
     * @param crash - The crash.
     * @returns The report for others, who may not know which parts are sound; `undefined` if no part can be to blame.
     */
    recordOwnCrash(crash: OwnEndpointCrash): EndpointCrash | undefined {
        const promptParts = crash.promptParts.filter(part => !this.hasSucceededRecently(part));
        if (promptParts.length === 0) {
            return undefined;
        }
        const report = { ...crash, promptParts, ageMs: 0 };
        this.recordCrash(report);
        return report;
    }

    /**
     * Records that an endpoint crashed while it ran a request of which nothing had arrived. Repeated reports are ignored.
     *
     * @param report - The report.
     */
    recordCrash({ reportId, endpointId, fingerprint, promptParts, ageMs }: EndpointCrash): void {
        if (this.knownReports.has(reportId)) {
            return;
        }
        this.knownReports.set(reportId, true);
        const atMs = performance.now() - ageMs;
        const crash = this.crashLog.getCrash(endpointId, atMs);
        const explainedBefore = this.findExplanation(crash);
        this.crashLog.addSuspect(crash, fingerprint, promptParts);
        const explanation = this.findExplanation(crash);
        if (explanation !== undefined && explainedBefore === undefined) {
            this.setPrompt(explanation, {
                ...explanation.prompt,
                laterCrashes: explanation.prompt.laterCrashes + 1,
            });
        }
        this.blockCommonParts();
    }

    /**
     * Records that an endpoint has produced a part of a response, so that the request did not crash it.
     *
     * @param parts - Shared parts of the request's prompt.
     */
    recordSuccess(parts: readonly string[]): void {
        const nowMs = performance.now();
        for (const part of parts) {
            this.lastSuccessAtMs.set(part, nowMs);
        }
        for (const block of [...this.blocks.values()]) {
            const remaining = block.prompt.parts.filter(part => !parts.includes(part));
            if (remaining.length === 0) {
                this.end(block);
            }
            else if (remaining.length < block.prompt.parts.length) {
                this.setPrompt(block, { ...block.prompt, parts: remaining });
            }
        }
    }

    /**
     * Adopts the blocks that the store lists; blocks that it listed before and no more have ended.
     *
     * @param prompts - The blocks.
     */
    adopt(prompts: readonly BlockedPrompt[]): void {
        const listedIds = new Set(prompts.map(({ blockId }) => blockId));
        for (const [blockId, { isStored }] of this.blocks) {
            if (isStored && !listedIds.has(blockId)) {
                this.blocks.delete(blockId);
            }
        }
        for (const prompt of prompts) {
            const known = this.blocks.get(prompt.blockId);
            const isOver = this.endedBlockIds.has(prompt.blockId) || isExpired(prompt);
            const isNewer = known === undefined || prompt.parts.length < known.prompt.parts.length;
            if (!isOver && isNewer) {
                this.blocks.set(prompt.blockId, newActiveBlock(prompt, true));
            }
            else if (known !== undefined) {
                known.isStored = true;
            }
        }
    }

    private hasSucceededRecently(part: string): boolean {
        return performance.now() - (this.lastSuccessAtMs.get(part) ?? -Infinity) < SUCCESS_TRUST_MS;
    }

    private findBlock(parts: readonly string[]): ActiveBlock | undefined {
        for (const block of this.blocks.values()) {
            if (isExpired(block.prompt)) {
                this.end(block);
            }
            else if (hasAll(parts, block.prompt.parts)) {
                return block;
            }
        }
        return undefined;
    }

    private end({ prompt }: ActiveBlock): void {
        this.blocks.delete(prompt.blockId);
        this.endedBlockIds.set(prompt.blockId, true);
        this.onChange(prompt, true);
    }

    private setPrompt(block: ActiveBlock, prompt: BlockedPrompt): void {
        if (prompt.trials > block.prompt.trials) {
            block.nextTrialAtMs = performance.now() + getTrialDelayMs(prompt.trials);
        }
        block.prompt = prompt;
        this.onChange(prompt, false);
    }

    /** Each block explains the crashes for which its parts are blamed, so that there are fewer to explain each time. */
    private blockCommonParts(): void {
        for (let groups = this.findCommonParts(); groups.length > 0; groups = this.findCommonParts()) {
            for (const parts of groups) {
                const prompt = { blockId: newRequestId(), parts, trials: 0, laterCrashes: 0, blockedAt: Date.now() };
                this.blocks.set(prompt.blockId, newActiveBlock(prompt, false));
                this.onChange(prompt, false);
            }
        }
    }

    /**
     * @returns The parts that occur in the most crashes that no block explains, if these are enough to blame them;
     *     parts that stood in the same requests form one group.
     */
    private findCommonParts(): string[][] {
        const candidates = this.getEvidence().filter(({ crashes, fingerprints }) =>
            crashes.size >= CRASHES_TO_BLOCK && fingerprints.size >= REQUESTS_TO_BLOCK
        );
        const most = candidates.reduce((maximum, { crashes }) => Math.max(maximum, crashes.size), 0);
        return groupByRequests(candidates.filter(({ crashes }) => crashes.size === most));
    }

    /** @returns What speaks against each part that may have caused enough crashes that no block explains. */
    private getEvidence(): PartEvidence[] {
        const explained = this.getExplainedCrashes();
        const startedAtMs = performance.now() - CRASH_TTL_MS;
        const evidence: PartEvidence[] = [];
        for (const [part, suspects] of this.crashLog.getSuspectsByPart()) {
            if (suspects.size >= CRASHES_TO_BLOCK && !this.hasSucceededRecently(part)) {
                const sinceMs = Math.max(startedAtMs, this.lastSuccessAtMs.get(part) ?? -Infinity);
                const counted = [...suspects].filter(({ crash }) => crash.atMs > sinceMs && !explained.has(crash));
                if (counted.length >= CRASHES_TO_BLOCK) {
                    evidence.push(newPartEvidence(part, counted));
                }
            }
        }
        return evidence;
    }

    private getExplainedCrashes(): Set<Crash> {
        const explained = new Set<Crash>();
        for (const { prompt: { parts } } of this.blocks.values()) {
            for (const suspect of this.crashLog.getSuspects(parts[0] ?? "")) {
                if (hasAll(suspect.parts, parts)) {
                    explained.add(suspect.crash);
                }
            }
        }
        return explained;
    }

    /** @returns The block whose parts one of the requests had that may have caused the crash. */
    private findExplanation({ suspects }: Crash): ActiveBlock | undefined {
        return [...this.blocks.values()].find(({ prompt }) =>
            suspects.some(({ parts }) => hasAll(parts, prompt.parts))
        );
    }
}

function newActiveBlock(prompt: BlockedPrompt, isStored: boolean): ActiveBlock {
    return { prompt, nextTrialAtMs: performance.now() + getTrialDelayMs(prompt.trials), isStored };
}

function isExpired({ blockedAt }: BlockedPrompt): boolean {
    return Date.now() - blockedAt > BLOCK_TTL_MS;
}

function getTrialDelayMs(trials: number): number {
    return TRIAL_DELAYS_MS[trials] ?? Infinity;
}

function hasAll(parts: readonly string[], required: readonly string[]): boolean {
    return required.every(part => parts.includes(part));
}

function newPartEvidence(part: string, suspects: readonly Suspect[]): PartEvidence {
    return {
        part,
        suspects: new Set(suspects),
        crashes: new Set(suspects.map(({ crash }) => crash)),
        fingerprints: new Set(suspects.map(({ fingerprint }) => fingerprint)),
    };
}

/**
 * Each group holds a part and those that stood in all of its requests, which therefore explain its crashes. Parts of a
 * group that is included in another one form none of their own.
 */
function groupByRequests(parts: readonly PartEvidence[]): string[][] {
    const grouped = new Set<string>();
    const groups: string[][] = [];
    // The groups of parts with fewer requests include those of parts with more of them.
    for (const { part, suspects } of parts.toSorted((left, right) => left.suspects.size - right.suspects.size)) {
        if (!grouped.has(part)) {
            const group = parts.filter(other => [...suspects].every(suspect => other.suspects.has(suspect)));
            groups.push(group.map(({ part: member }) => member));
            group.forEach(({ part: member }) => grouped.add(member));
        }
    }
    return groups;
}
