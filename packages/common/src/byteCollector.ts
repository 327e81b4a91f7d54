/** Chunks from this size on are kept as they are; smaller ones are copied into blocks. */
const MIN_KEPT_BYTES = 4_096;
const FIRST_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;
/** Objects that V8 and Node.js keep for each buffer beside its bytes. */
const BUFFER_OVERHEAD_BYTES = 256;

/** Collects the chunks of a body. Small chunks are coalesced, so that they take no more memory than large ones. */
export class ByteCollector {
    private blocks: Buffer[] = [];
    private tail = Buffer.alloc(0);
    private tailBytes = 0;
    private nextBlockBytes = FIRST_BLOCK_BYTES;
    private collectedBytes = 0;
    private allocatedBytes = 0;

    /** Size of what has been collected. */
    get sizeBytes(): number {
        return this.collectedBytes;
    }

    /** Memory that is in use for it. */
    get memoryBytes(): number {
        return this.allocatedBytes;
    }

    /**
     * Appends a chunk.
     *
     * @param chunk - The chunk, which is not modified later.
     */
    append(chunk: Buffer): void {
        this.collectedBytes += chunk.length;
        if (chunk.length >= MIN_KEPT_BYTES) {
            this.closeTail();
            this.addBlock(chunk);
            return;
        }
        let copiedBytes = 0;
        while (copiedBytes < chunk.length) {
            if (this.tailBytes === this.tail.length) {
                this.openTail();
            }
            const count = chunk.copy(this.tail, this.tailBytes, copiedBytes);
            this.tailBytes += count;
            copiedBytes += count;
        }
    }

    /** Forgets what has been collected. */
    clear(): void {
        this.blocks = [];
        this.tail = Buffer.alloc(0);
        this.tailBytes = 0;
        this.nextBlockBytes = FIRST_BLOCK_BYTES;
        this.collectedBytes = 0;
        this.allocatedBytes = 0;
    }

    /** @returns All bytes in one buffer; nothing is collected any more. */
    take(): Buffer {
        this.closeTail();
        const [first = this.tail, ...others] = this.blocks;
        const all = others.length === 0 ? first : Buffer.concat(this.blocks, this.collectedBytes);
        this.clear();
        return all;
    }

    private openTail(): void {
        this.closeTail();
        // Not from the shared pool of Node.js, which one small body would keep as a whole.
        this.tail = Buffer.allocUnsafeSlow(this.nextBlockBytes);
        this.allocatedBytes += this.nextBlockBytes + BUFFER_OVERHEAD_BYTES;
        this.nextBlockBytes = Math.min(MAX_BLOCK_BYTES, this.nextBlockBytes * 2);
    }

    private closeTail(): void {
        if (this.tailBytes > 0) {
            this.blocks.push(this.tail.subarray(0, this.tailBytes));
            this.tail = Buffer.alloc(0);
            this.tailBytes = 0;
        }
    }

    private addBlock(chunk: Buffer): void {
        this.blocks.push(chunk);
        this.allocatedBytes += chunk.length + BUFFER_OVERHEAD_BYTES;
    }
}
