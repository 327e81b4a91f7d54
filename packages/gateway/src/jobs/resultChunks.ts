import { newId } from "@heatherline/common";
import { getJsonBytes, ObjectSizeLimit } from "../objectSize";
import type { ItemResult } from "../wireCodec";

/** Chunks that the store doesn't accept become smaller, down to this limit. */
const MIN_CHUNK_BYTES = 16_384;
/** Limit of the results in one chunk, as JSON in UTF-8; a larger result is split over several chunks. */
const MAX_CHUNK_BYTES = 500_000;

/** A part of the output of one result that is too large for one chunk. */
export interface ResultPiece {
    /** Distinguishes this writer's result from another writer's result of the same item. */
    readonly resultId: string;
    readonly itemId: string;
    readonly state: ItemResult["state"];
    /** Position of this piece, from 0, and number of pieces. */
    readonly index: number;
    readonly count: number;
    readonly text: string;
}

/** What a chunk of a job's results holds: whole results, or one piece of a result. */
export interface ChunkContent {
    readonly results: readonly ItemResult[];
    readonly piece?: ResultPiece | undefined;
}

const resultSizes = new WeakMap<ItemResult, number>();

/**
 * @param result - A result; results never change.
 * @returns Its size as JSON in UTF-8, in the store and, but for some bytes, in a page.
 */
export function getResultBytes(result: ItemResult): number {
    let sizeBytes = resultSizes.get(result);
    if (sizeBytes === undefined) {
        sizeBytes = Buffer.byteLength(JSON.stringify(result)) + 1;
        resultSizes.set(result, sizeBytes);
    }
    return sizeBytes;
}

/**
 * @param results - Results.
 * @param maxBytes - Limit of their size as JSON in UTF-8.
 * @returns The first results, up to the limit; at least one, even if it is larger.
 */
export function takeUpToBytes(results: readonly ItemResult[], maxBytes: number): ItemResult[] {
    const taken: ItemResult[] = [];
    let sizeBytes = 0;
    for (const result of results) {
        sizeBytes += getResultBytes(result);
        if (taken.length > 0 && sizeBytes > maxBytes) {
            break;
        }
        taken.push(result);
    }
    return taken;
}

/**
 * @param text - A text.
 * @param maxBytes - Limit of the size of one part as JSON in UTF-8.
 * @returns The text in parts.
 */
export function splitText(text: string, maxBytes: number): string[] {
    const parts: string[] = [];
    for (let at = 0; at < text.length;) {
        let part = text.slice(at, at + maxBytes);
        while (part.length > 1 && getJsonBytes(part) > maxBytes) {
            part = part.slice(0, Math.ceil(part.length / 2));
        }
        parts.push(part);
        at += part.length;
    }
    return parts;
}

/** Decides what the chunks hold in which the results of a job are written, one after the other. */
export class ChunkPlanner {
    private readonly sizeLimit = new ObjectSizeLimit(MAX_CHUNK_BYTES, MIN_CHUNK_BYTES);
    private split: { readonly result: ItemResult; readonly pieces: readonly ResultPiece[]; next: number; } | undefined;

    /** Whether some but not all pieces of a result have been written. */
    get isInsideResult(): boolean {
        return this.split !== undefined && this.split.next > 0;
    }

    /** Whether chunks can't become smaller. */
    get isAtMinimum(): boolean {
        return this.sizeLimit.isAtMinimum;
    }

    /**
     * @param results - Results that are not written yet, at least one.
     * @returns The content of the next chunk.
     */
    getNext(results: readonly ItemResult[]): ChunkContent {
        const { maxBytes } = this.sizeLimit;
        const begun = results.find(result => result === this.split?.result);
        const large = begun ?? results.find(result => getResultBytes(result) > maxBytes);
        const small = results.filter(result => getResultBytes(result) <= maxBytes);
        if (large === undefined || (begun === undefined && small.length > 0)) {
            return { results: takeUpToBytes(small, maxBytes) };
        }
        if (begun === undefined) {
            this.split = { result: large, pieces: newPieces(large, maxBytes), next: 0 };
        }
        return { results: [], piece: this.split?.pieces[this.split.next] };
    }

    /**
     * Records that a chunk has been written.
     *
     * @param content - Its content.
     */
    recordWritten({ piece }: ChunkContent): void {
        if (this.split === undefined || piece === undefined) {
            return;
        }
        this.split.next += 1;
        if (this.split.next === this.split.pieces.length) {
            this.split = undefined;
        }
    }

    /** Records that the store doesn't accept a chunk, however often it is written; the next ones are smaller. */
    recordRejected(): void {
        this.sizeLimit.recordRejected();
        this.split = undefined;
    }
}

/** Reads the results from the chunks of a job, in their order, and joins the pieces of results that were split. */
export class ChunkReader {
    private readonly piecesByResultId = new Map<string, string[]>();

    /**
     * @param content - Content of the next chunk.
     * @returns The results that are whole with this chunk.
     */
    read({ results, piece }: ChunkContent): readonly ItemResult[] {
        if (piece === undefined) {
            return results;
        }
        const texts = this.piecesByResultId.get(piece.resultId) ?? [];
        this.piecesByResultId.set(piece.resultId, texts);
        if (piece.index === texts.length) {
            texts.push(piece.text);
        }
        if (texts.length < piece.count) {
            return results;
        }
        this.piecesByResultId.delete(piece.resultId);
        return [...results, { itemId: piece.itemId, state: piece.state, output: texts.join("") }];
    }
}

function newPieces({ itemId, state, output }: ItemResult, maxBytes: number): ResultPiece[] {
    const texts = splitText(output, maxBytes);
    const resultId = newId();
    return texts.map((text, index) => ({ resultId, itemId, state, index, count: texts.length, text }));
}
