import type { CallerResponse } from "../callers/callerResponse";
import type { HeldBodies, HeldBody } from "../heldBodies";
import type { WholeResponse } from "./attemptOutcome";
import type { CallerBuffer } from "./callerBuffer";

/**
 * Sends an endpoint's whole response to the caller. Keeps the latest error response while the request is sent again, if
 * memory has room for its body.
 */
export class WholeResponseSender {
    private failure: WholeResponse | undefined;
    private held: HeldBody | undefined;
    private failureStatus: number | undefined;

    /**
     * @param response - The response to the caller.
     * @param buffer - Holds what the caller is yet to read; absent if endpoints wait for callers.
     * @param bodies - Counts the bodies in memory; absent where they are not counted.
     */
    constructor(
        private readonly response: CallerResponse,
        private readonly buffer: CallerBuffer | undefined,
        private readonly bodies: HeldBodies | undefined,
    ) {}

    /** Status of the error response that the caller was sent; `undefined` if it wasn't sent one. */
    get sentFailureStatus(): number | undefined {
        return this.failureStatus;
    }

    /**
     * @param response - The response to send.
     */
    send({ status, rawHeaders, body }: WholeResponse): void {
        if (this.buffer === undefined) {
            this.response.sendFull(status, rawHeaders, body);
            return;
        }
        this.response.startFull(status, rawHeaders, body.length);
        this.buffer.sendWhole(body);
    }

    /**
     * Keeps an error response in place of an earlier one.
     *
     * @param failure - The response.
     */
    keepFailure(failure: WholeResponse): void {
        this.forgetFailure();
        this.held = this.bodies?.holdOnline(failure.body.length);
        this.failure = this.bodies === undefined || this.held !== undefined ? failure : undefined;
    }

    /** Sends the error response that is kept, if there is one and no other response has begun. */
    sendFailure(): void {
        const { failure } = this;
        this.forgetFailure();
        if (failure !== undefined && !this.response.hasStarted) {
            this.send(failure);
            this.failureStatus = failure.status;
        }
    }

    /** Forgets the error response that is kept. */
    forgetFailure(): void {
        this.held?.release();
        this.held = undefined;
        this.failure = undefined;
    }
}
