import type { Logger } from "@heatherline/common";
import type { CallerResponse } from "../callers/callerResponse";
import type { MemoryBudget, MemoryHolder, SlowCallerCause } from "../memoryBudget";

/** Limit of what is held of one stream; beyond it the endpoint has to wait. */
const MAX_STREAM_BYTES = 262_144;
/** Size of the blocks to which small events are copied, so that they cost no more than their bytes. */
const BLOCK_BYTES = 16_384;
/** What the connection is given at once. A write that has completed shows that the caller reads. */
const WRITE_BYTES = 16_384;

/** What the buffers of all callers depend on. */
export interface CallerBuffersDependencies {
    readonly budget: MemoryBudget;
    readonly metrics: { readonly recordSlowCaller: (cause: SlowCallerCause) => void; };
    readonly logger: Logger;
}

/** Opens the buffers in which responses wait for callers that read slowly. */
export class CallerBuffers {
    /**
     * @param deps - What the buffers depend on.
     */
    constructor(private readonly deps: CallerBuffersDependencies) {}

    /** Memory of all buffers. */
    get budget(): MemoryBudget {
        return this.deps.budget;
    }

    /**
     * @param response - The response to a caller.
     * @param requestId - Id of the request, for the log.
     * @returns A buffer for the response.
     */
    open(response: CallerResponse, requestId: string | undefined): CallerBuffer {
        return new CallerBuffer(response, this.deps.budget, (cause, unreadBytes, unreadMs) => {
            this.deps.metrics.recordSlowCaller(cause);
            this.deps.logger.info({ event: "slow-caller-closed", requestId, cause, unreadBytes, unreadMs });
        });
    }
}

/**
 * Holds what a caller is yet to read of its response, so that an endpoint's response is read as it arrives. Beyond a limit,
 * and when the budget of the process is used up, the writer has to wait.
 */
export class CallerBuffer implements MemoryHolder {
    /** A writer that has to wait for a slow caller doesn't wait for the response's own buffer. */
    readonly isBuffering = true;
    lastReadAtMs = performance.now();
    private blocks: Buffer[] = [];
    /** Bytes of the last block that are used, if events are being copied to it. */
    private lastBlockBytes: number | undefined;
    private queuedBytes = 0;
    /** Bytes that the connection has been given and has not sent yet. */
    private writtenBytes = 0;
    private isEnding = false;
    private isClosed = false;
    private isCutShort = false;
    /** Called when the caller has read something or has gone. */
    private readonly waiters = new Set<() => void>();

    /**
     * @param response - The response to the caller.
     * @param budget - Memory of all buffers.
     * @param onSlow - Called when the caller is disconnected because it reads too slowly.
     */
    constructor(
        private readonly response: CallerResponse,
        private readonly budget: MemoryBudget,
        private readonly onSlow: (cause: SlowCallerCause, unreadBytes: number, unreadMs: number) => void,
    ) {
        response.onClose(() => this.clear());
    }

    /** Bytes that wait for the caller. */
    get unreadBytes(): number {
        return this.queuedBytes + this.writtenBytes;
    }

    /**
     * Writes a part of the response.
     *
     * @param bytes - The next bytes.
     * @returns `undefined` if more can be written at once; otherwise a promise that resolves when there is room again or
     * the connection has closed.
     */
    write(bytes: Buffer): Promise<void> | undefined {
        if (this.isClosed || this.response.hasEnded || bytes.length === 0) {
            return undefined;
        }
        if (this.unreadBytes === 0) {
            this.lastReadAtMs = performance.now();
        }
        if (this.queuedBytes === 0 && this.writtenBytes + bytes.length <= WRITE_BYTES) {
            this.give(bytes);
        }
        else {
            this.append(bytes);
            this.giveQueued();
        }
        this.updateBudget();
        return this.isFull ? this.waitUntilRoom() : undefined;
    }

    /** Ends the response once the caller has been sent all of it. */
    endStream(): void {
        this.isEnding = true;
        if (this.unreadBytes === 0) {
            this.response.endStream();
        }
    }

    /** Whether the connection has taken all that was written. */
    get isComplete(): boolean {
        return !this.isCutShort;
    }

    /**
     * @param signal - Ends the wait.
     * @returns Resolves when the connection has taken all that was written, or has closed.
     */
    async flushUnless(signal: AbortSignal): Promise<void> {
        const onAbort = () => this.wakeWaiters();
        signal.addEventListener("abort", onAbort, { once: true });
        while (this.unreadBytes > 0 && !signal.aborted) {
            await this.waitForProgress();
        }
        signal.removeEventListener("abort", onAbort);
    }

    /**
     * Writes the whole body of a response that has started, and ends the response.
     *
     * @param body - The body.
     */
    sendWhole(body: Buffer): void {
        void this.write(body);
        this.endStream();
    }

    close(cause: SlowCallerCause): void {
        this.onSlow(cause, this.unreadBytes, Math.round(performance.now() - this.lastReadAtMs));
        this.response.abort();
        this.clear();
    }

    private get isFull(): boolean {
        const { unreadBytes } = this;
        return unreadBytes > MAX_STREAM_BYTES || (unreadBytes > 0 && !this.budget.hasRoom(0));
    }

    private async waitUntilRoom(): Promise<void> {
        while (this.isFull && !this.response.hasEnded) {
            await this.waitForProgress();
        }
    }

    /** @returns Resolves when the caller has read something or has gone, or when memory has been given back. */
    private waitForProgress(): Promise<void> {
        return new Promise(resolve => {
            const done = () => {
                this.waiters.delete(done);
                this.budget.removeWaiter(done);
                resolve();
            };
            this.waiters.add(done);
            this.budget.addWaiter(done);
        });
    }

    private give(bytes: Buffer): void {
        this.writtenBytes += bytes.length;
        this.response.writeThen(bytes, () => this.onWritten(bytes.length));
    }

    private giveQueued(): void {
        while (this.writtenBytes < WRITE_BYTES) {
            const part = this.takePart();
            if (part === undefined) {
                return;
            }
            this.give(part);
        }
    }

    private onWritten(sizeBytes: number): void {
        if (this.isClosed) {
            return;
        }
        if (this.response.hasEnded) {
            this.clear();
            return;
        }
        this.writtenBytes -= sizeBytes;
        this.lastReadAtMs = performance.now();
        this.giveQueued();
        this.updateBudget();
        this.wakeWaiters();
        if (this.isEnding && this.unreadBytes === 0) {
            this.response.endStream();
        }
    }

    /** Copies small events to blocks; a large part, such as a whole body, is kept as it is. */
    private append(bytes: Buffer): void {
        this.queuedBytes += bytes.length;
        if (bytes.length > BLOCK_BYTES) {
            this.sealLastBlock();
            this.blocks.push(bytes);
            return;
        }
        const used = this.lastBlockBytes;
        const block = this.blocks.at(-1);
        if (used === undefined || block === undefined || used + bytes.length > block.length) {
            this.sealLastBlock();
            const newBlock = Buffer.allocUnsafeSlow(BLOCK_BYTES);
            bytes.copy(newBlock);
            this.blocks.push(newBlock);
            this.lastBlockBytes = bytes.length;
            return;
        }
        bytes.copy(block, used);
        this.lastBlockBytes = used + bytes.length;
    }

    private sealLastBlock(): void {
        const block = this.blocks.at(-1);
        if (this.lastBlockBytes !== undefined && block !== undefined) {
            this.blocks[this.blocks.length - 1] = block.subarray(0, this.lastBlockBytes);
        }
        this.lastBlockBytes = undefined;
    }

    private takePart(): Buffer | undefined {
        if (this.blocks.length === 1) {
            this.sealLastBlock();
        }
        const [block] = this.blocks;
        if (block === undefined) {
            return undefined;
        }
        if (block.length <= WRITE_BYTES) {
            this.blocks.shift();
        }
        else {
            this.blocks[0] = block.subarray(WRITE_BYTES);
        }
        const part = block.subarray(0, WRITE_BYTES);
        this.queuedBytes -= part.length;
        return part;
    }

    private wakeWaiters(): void {
        [...this.waiters].forEach(wake => wake());
    }

    private updateBudget(): void {
        const spareBytes = this.lastBlockBytes === undefined ? 0 : BLOCK_BYTES - this.lastBlockBytes;
        this.budget.setBytes(this, this.unreadBytes + spareBytes);
    }

    private clear(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.isCutShort = this.unreadBytes > 0;
        this.blocks = [];
        this.lastBlockBytes = undefined;
        this.queuedBytes = 0;
        this.writtenBytes = 0;
        this.updateBudget();
        this.wakeWaiters();
    }
}
