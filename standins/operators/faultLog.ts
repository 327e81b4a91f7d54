/** What a fault concerns: the store, or the gateway or engine of this name. */
export type FaultTarget = "store" | `gateway ${string}` | `engine ${string}`;

/**
 * - `unplanned`: what the platform's rules excuse.
 * - `planned`: a stop of a gateway on request.
 * - `sound`: what isn't a fault by the platform's rules, such as an engine that is silent for a second.
 */
export type FaultKind = "unplanned" | "planned" | "sound";

/** A fault of a soak. */
export interface SoakFault {
    readonly kind: FaultKind;
    readonly target: FaultTarget;
    readonly startedAtMs: number;
    /** `Infinity` until it has ended. */
    endedAtMs: number;
}

/** Time for which a fault's effects are excused after its end, in milliseconds. */
export const CONTACT_MS = 3_000;

/** Records when which faults were in force. */
export class FaultLog {
    /** One line for each fault. */
    readonly descriptions: string[] = [];
    private readonly faults: SoakFault[] = [];

    /**
     * Records that a fault begins.
     *
     * @param kind - Its kind.
     * @param target - What it concerns.
     * @param description - What happens.
     * @param lengthMs - How long it is to last, in milliseconds; it ends when `endedAtMs` is set.
     * @returns The fault.
     */
    begin(kind: FaultKind, target: FaultTarget, description: string, lengthMs: number): SoakFault {
        const fault: SoakFault = { kind, target, startedAtMs: Date.now(), endedAtMs: Infinity };
        this.faults.push(fault);
        this.descriptions.push(`${description} for ${Math.round(lengthMs)} ms`);
        return fault;
    }

    /**
     * @param fromMs - Start of a time span, in milliseconds since the epoch.
     * @param toMs - Its end.
     * @param concerns - Selects faults.
     * @returns Whether one of them was in force then or ended up to {@link CONTACT_MS} before.
     */
    hasFault(fromMs: number, toMs: number, concerns: (fault: SoakFault) => boolean): boolean {
        return this.faults.some(fault =>
            concerns(fault) && fault.startedAtMs <= toMs && fault.endedAtMs >= fromMs - CONTACT_MS
        );
    }

    /**
     * @param gateway - Name of a gateway.
     * @param fromMs - Start of a time span, in milliseconds since the epoch.
     * @param toMs - Its end.
     * @returns Whether it was in touch all the while: neither it nor the store had a fault or was stopped or started.
     */
    isInTouch(gateway: string, fromMs: number, toMs: number): boolean {
        return !this.hasFault(
            fromMs,
            toMs,
            ({ kind, target }) => kind !== "sound" && (target === "store" || target === `gateway ${gateway}`),
        );
    }

    /**
     * @param gateway - Name of a gateway.
     * @param atMs - A time, in milliseconds since the epoch.
     * @returns When the planned stop began that was in force then, if there was one.
     */
    getStopStart(gateway: string, atMs: number): number | undefined {
        return this.faults.findLast(({ kind, target, startedAtMs, endedAtMs }) =>
            kind === "planned" && target === `gateway ${gateway}` && startedAtMs <= atMs && endedAtMs >= atMs
        )?.startedAtMs;
    }
}
