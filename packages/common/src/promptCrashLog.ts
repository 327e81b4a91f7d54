const MAX_CRASHES = 512;
/** Maximum number of parts of all requests that are kept, each counted as often as it occurs. */
const MAX_PARTS = 16_384;
/** Connections to an endpoint that break within this time belong to one crash, in milliseconds. */
const CRASH_WINDOW_MS = 2_000;
/** Endpoints that crash within this time crash for one reason, such as a power loss, in milliseconds. */
const COMMON_CAUSE_WINDOW_MS = 100;

/** One crash of an endpoint, or of several at once. */
export interface Crash {
    readonly endpointId: string;
    readonly atMs: number;
    /** Requests of which nothing had arrived then. */
    readonly suspects: Suspect[];
}

/** A request of which nothing had arrived when an endpoint crashed. */
export interface Suspect {
    readonly crash: Crash;
    readonly fingerprint: string;
    readonly parts: readonly string[];
}

/** The latest crashes of endpoints, with the requests that ran then by the parts of their prompts. */
export class PromptCrashLog {
    /** The oldest report first. */
    private readonly crashes = new Set<Crash>();
    private readonly suspectsByPart = new Map<string, Set<Suspect>>();
    private partCount = 0;

    /**
     * @param endpointId - An endpoint that crashed.
     * @param atMs - When, on the monotonic clock.
     * @returns The crash to which this belongs; a new one if no other is that close.
     */
    getCrash(endpointId: string, atMs: number): Crash {
        for (const crash of this.crashes) {
            const windowMs = crash.endpointId === endpointId ? CRASH_WINDOW_MS : COMMON_CAUSE_WINDOW_MS;
            if (Math.abs(crash.atMs - atMs) < windowMs) {
                return crash;
            }
        }
        const crash: Crash = { endpointId, atMs, suspects: [] };
        this.crashes.add(crash);
        return crash;
    }

    /**
     * Adds a request to a crash; the oldest crashes are dropped if too much is kept.
     *
     * @param crash - The crash.
     * @param fingerprint - Identifies the request across its attempts.
     * @param parts - Shared parts of its prompt.
     */
    addSuspect(crash: Crash, fingerprint: string, parts: readonly string[]): void {
        const suspect: Suspect = { crash, fingerprint, parts: [...new Set(parts)].slice(0, MAX_PARTS) };
        crash.suspects.push(suspect);
        this.partCount += suspect.parts.length;
        for (const part of suspect.parts) {
            const suspects = this.suspectsByPart.get(part) ?? new Set();
            this.suspectsByPart.set(part, suspects.add(suspect));
        }
        for (const oldest of this.crashes) {
            if (this.crashes.size <= MAX_CRASHES && this.partCount <= MAX_PARTS) {
                break;
            }
            this.drop(oldest);
        }
    }

    /**
     * @param part - A part.
     * @returns The requests that have it.
     */
    getSuspects(part: string): ReadonlySet<Suspect> {
        return this.suspectsByPart.get(part) ?? new Set();
    }

    /** @returns The parts of all requests, each with the requests that have it. */
    getSuspectsByPart(): ReadonlyMap<string, ReadonlySet<Suspect>> {
        return this.suspectsByPart;
    }

    private drop(crash: Crash): void {
        this.crashes.delete(crash);
        for (const suspect of crash.suspects) {
            this.partCount -= suspect.parts.length;
            for (const part of suspect.parts) {
                const suspects = this.suspectsByPart.get(part);
                suspects?.delete(suspect);
                if (suspects?.size === 0) {
                    this.suspectsByPart.delete(part);
                }
            }
        }
    }
}
