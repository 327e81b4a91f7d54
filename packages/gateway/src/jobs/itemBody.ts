import type { HeldBodies, HeldBody } from "../heldBodies";
import type { ItemContent } from "./jobBodies";

/** Asked for before the size of a body is known, so that nothing is read while memory is used up. */
const UNKNOWN_SIZE_BYTES = 1;

/** What an endpoint is sent for an item, in memory. */
export interface LoadedContent extends Omit<ItemContent, "bodyBase64"> {
    readonly body: Buffer;
}

/** What an {@link ItemBody} depends on. */
export interface ItemBodyDependencies {
    /** @returns What an endpoint is sent for the item, or `undefined` if it can't be read now. */
    readonly getContent: () => Promise<ItemContent | undefined>;
    /** Bounds the bodies in memory; absent where they are not counted. */
    readonly bodies: HeldBodies | undefined;
    /** Called when the item begins to wait for memory, with the size of its body if that is known. */
    readonly onMemoryShort: (sizeBytes: number | undefined) => void;
}

/** The body of one batch item, which is in memory only while the item runs or waits for a place. */
export class ItemBody {
    /** Known once the body has been read. */
    private sizeBytes: number | undefined;
    private held: HeldBody | undefined;
    private isWaiting = false;

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: ItemBodyDependencies) {}

    /** @returns The content, or `undefined` if it can't be read now or memory has no room for it. */
    async load(): Promise<LoadedContent | undefined> {
        const { bodies, getContent } = this.deps;
        if (bodies?.mayHoldItem(this, this.sizeBytes ?? UNKNOWN_SIZE_BYTES) === false) {
            this.recordWaiting();
            return undefined;
        }
        const content = await getContent();
        if (content === undefined) {
            // An item that can't be read keeps no others from running.
            bodies?.forgetItem(this);
            return undefined;
        }
        const { path, headers, bodyBase64 } = content;
        if (bodies !== undefined) {
            this.sizeBytes = Buffer.byteLength(bodyBase64, "base64");
            this.held = bodies.holdItem(this, this.sizeBytes);
            if (this.held === undefined) {
                this.recordWaiting();
                return undefined;
            }
            this.isWaiting = false;
        }
        return { path, headers, body: Buffer.from(bodyBase64, "base64") };
    }

    /** Records that the body isn't in memory any more. */
    release(): void {
        this.held?.release();
        this.held = undefined;
    }

    /** Records that the item doesn't run any more, and doesn't wait for memory either. */
    end(): void {
        this.release();
        this.deps.bodies?.forgetItem(this);
    }

    private recordWaiting(): void {
        if (!this.isWaiting) {
            this.isWaiting = true;
            this.deps.onMemoryShort(this.sizeBytes);
        }
    }
}
