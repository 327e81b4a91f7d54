import type { Result } from "neverthrow";
import type { RolloutOrder, RolloutState } from "./types";

/** What the content of an order says; when it was given, its reader adds. */
export type RolloutInstruction = Pick<RolloutOrder, "service" | "toVersion" | "durationMs">;

/** How the platform stores orders and their status. */
export interface RolloutSchema {
    /** Kind of the orders. */
    readonly kind: string;
    /**
     * @param name - Name of the object.
     * @param value - Its content.
     * @returns The order, or why it is invalid.
     */
    decode(name: string, value: unknown): Result<RolloutInstruction, string>;
    /**
     * @param value - Content of an order that may be invalid.
     * @returns The version that it names, if it names one.
     */
    findVersion(value: unknown): string | undefined;
    /**
     * @param state - State of a roll-out.
     * @param toVersion - The version that its order names.
     * @returns The status to write.
     */
    encodeStatus(state: RolloutState, toVersion: string): Record<string, unknown>;
}
