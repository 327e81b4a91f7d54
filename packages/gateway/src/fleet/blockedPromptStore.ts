import { type BlockedPrompt, type Logger, sleep, withJitter } from "@heatherline/common";
import { BLOCKED_PROMPT_KIND } from "@heatherline/fleet";
import type { ObjectStore, StoredValue, StoreError } from "@heatherline/store";
import { err, ok, type Result } from "neverthrow";

const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 3_000;
/** Writes that fail this often are given up; the coordinator still holds the block in memory. */
const MAX_ATTEMPTS = 60;

/** A change of a block that is yet to be written. */
interface PendingChange {
    readonly prompt: BlockedPrompt;
    readonly isEnded: boolean;
}

/** Writes blocks of prompts to the store, so that they outlast all instances. */
export class BlockedPromptStore {
    private readonly pendingChanges = new Map<string, PendingChange>();
    private readonly writing = new Set<string>();

    /**
     * @param store - The store.
     * @param logger - Log of the instance.
     */
    constructor(private readonly store: ObjectStore, private readonly logger: Logger) {}

    /**
     * Writes a block in the background, again and again until the store accepts it, rejects it for good, or a later change
     * replaces it.
     *
     * @param prompt - The block.
     * @param isEnded - Whether it has ended and is to be removed.
     */
    save(prompt: BlockedPrompt, isEnded: boolean): void {
        this.pendingChanges.set(prompt.blockId, { prompt, isEnded });
        if (!this.writing.has(prompt.blockId)) {
            this.writing.add(prompt.blockId);
            void this.writeChanges(prompt.blockId);
        }
    }

    private async writeChanges(blockId: string): Promise<void> {
        let failures = 0;
        let change = this.pendingChanges.get(blockId);
        while (change !== undefined) {
            const outcome = await this.write(change);
            failures = outcome === "failed" ? failures + 1 : 0;
            if (this.pendingChanges.get(blockId) === change && (failures === 0 || failures === MAX_ATTEMPTS)) {
                this.pendingChanges.delete(blockId);
            }
            if (failures > 0) {
                await sleep(withJitter(Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** failures)));
            }
            change = this.pendingChanges.get(blockId);
        }
        this.writing.delete(blockId);
    }

    private async write({ prompt, isEnded }: PendingChange): Promise<"written" | "rejected" | "failed"> {
        const { blockId, ...value } = prompt;
        const path = `${BLOCKED_PROMPT_KIND}/${blockId}`;
        const written = isEnded ? await this.remove(path) : await this.replace(path, value);
        this.logger.info({
            event: "blocked-prompt-saved",
            blockId,
            isEnded,
            isSaved: written.isOk(),
            cause: written.isErr() ? written.error.toString() : "",
        });
        if (written.isOk()) {
            return "written";
        }
        return written.error.kind === "rejected" ? "rejected" : "failed";
    }

    private async remove(path: string): Promise<Result<void, StoreError>> {
        const current = await this.store.get(path);
        if (current.isErr()) {
            return err(current.error);
        }
        return current.value === undefined ? ok(undefined) : this.store.delete(path, current.value.version);
    }

    private async replace(path: string, value: StoredValue): Promise<Result<number, StoreError>> {
        const current = await this.store.get(path);
        return current.isErr() ? err(current.error) : this.store.put(path, value, current.value?.version ?? 0);
    }
}
