import type { ItemResult } from "../wireCodec";
import { getResultBytes } from "./resultChunks";

/** Results of a job that are yet to be written to the store. */
export class UnwrittenResults implements Iterable<ItemResult> {
    private results: readonly ItemResult[] = [];
    private bytes = 0;

    /**
     * @param results - Results that an earlier runner has not written.
     */
    constructor(results: readonly ItemResult[]) {
        this.setResults(results);
    }

    /** The results, in the order in which their items were finished. */
    get all(): readonly ItemResult[] {
        return this.results;
    }

    /** Number of results. */
    get count(): number {
        return this.results.length;
    }

    /** Size of the results as JSON in UTF-8. */
    get sizeBytes(): number {
        return this.bytes;
    }

    [Symbol.iterator](): Iterator<ItemResult> {
        return this.results[Symbol.iterator]();
    }

    /**
     * @param result - The result of one more item.
     */
    add(result: ItemResult): void {
        this.setResults([...this.results, result]);
    }

    /**
     * Drops results that need not be written any more.
     *
     * @param isWritten - Whether the store has a result of an item.
     */
    dropWritten(isWritten: (itemId: string) => boolean): void {
        this.setResults(this.results.filter(({ itemId }) => !isWritten(itemId)));
    }

    private setResults(results: readonly ItemResult[]): void {
        this.results = results;
        this.bytes = results.reduce((sum, result) => sum + getResultBytes(result), 0);
    }
}
