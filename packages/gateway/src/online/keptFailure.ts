import type { HeldBodies, HeldBody } from "../heldBodies";
import type { WholeResponse } from "./attemptOutcome";

/** Keeps an endpoint's latest error response while the request is sent again, if memory has room for its body. */
export class KeptFailure {
    private failure: WholeResponse | undefined;
    private held: HeldBody | undefined;

    /**
     * @param bodies - Counts the bodies in memory; absent where they are not counted.
     */
    constructor(private readonly bodies: HeldBodies | undefined) {}

    /**
     * Keeps an error response in place of an earlier one.
     *
     * @param failure - The response.
     */
    keep(failure: WholeResponse): void {
        this.release();
        this.held = this.bodies?.holdOnline(failure.body.length);
        this.failure = this.bodies === undefined || this.held !== undefined ? failure : undefined;
    }

    /** @returns The response that is kept, which no longer counts; `undefined` if there is none. */
    take(): WholeResponse | undefined {
        const { failure } = this;
        this.release();
        return failure;
    }

    /** Forgets the response. */
    release(): void {
        this.held?.release();
        this.held = undefined;
        this.failure = undefined;
    }
}
