import { MAX_VALUE_BYTES } from "@heatherline/store";
import { z } from "zod";
import { getJsonBytes } from "../objectSize";
import { splitText } from "./resultChunks";

/** Fraction of the largest object that bodies take; the rest is left for what the store adds. */
export const MAX_PART_FRACTION = 0.7;
/** Quotes are counted with each text; a colon and a comma are not. */
const ENTRY_FRAMING_BYTES = 2;

/** Bodies in base64 in one object, by item id; or contents as JSON, where they are stored as a whole. */
export type BodyPart = Readonly<Record<string, string>>;

/** What an endpoint is sent for an item. */
export interface ItemContent {
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly bodyBase64: string;
}

/** The bodies of a job as the store has them. */
export interface StoredBodies {
    /** What each object holds. A body that is too large for one object is split over several. */
    readonly parts: readonly BodyPart[];
    /** For each item, the index of the object with the beginning of its body. */
    readonly firstParts: readonly number[];
}

const contentSchema = z.object({
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    bodyBase64: z.string(),
});

/**
 * @param content - The content of an item.
 * @returns The content as text.
 */
export function encodeContent({ path, headers, bodyBase64 }: ItemContent): string {
    return JSON.stringify({ path, headers, bodyBase64 });
}

/**
 * @param text - The content of an item as text.
 * @returns The content, or `undefined` if the text is not valid.
 */
export function decodeContent(text: string): ItemContent | undefined {
    try {
        return contentSchema.safeParse(JSON.parse(text)).data;
    }
    catch {
        return undefined;
    }
}

/**
 * Splits the bodies of a job, or the contents of its items, into objects that the store accepts.
 *
 * @param bodies - Bodies in base64 or contents, by item id.
 * @param maxPartBytes - Limit of what one object holds, as JSON in UTF-8.
 * @returns The objects; at least one.
 */
export function splitBodies(
    bodies: ReadonlyMap<string, string>,
    maxPartBytes = MAX_VALUE_BYTES * MAX_PART_FRACTION,
): StoredBodies {
    const parts: Record<string, string>[] = [];
    const firstParts: number[] = [];
    let sizeBytes = Infinity;
    for (const [itemId, body] of bodies) {
        const idBytes = getJsonBytes(itemId) + ENTRY_FRAMING_BYTES;
        const texts = idBytes + getJsonBytes(body) > maxPartBytes ? splitText(body, maxPartBytes) : [body];
        for (const [index, text] of texts.entries()) {
            const textBytes = idBytes + getJsonBytes(text);
            if (texts.length > 1 || sizeBytes + textBytes > maxPartBytes) {
                parts.push({});
                sizeBytes = 0;
            }
            if (index === 0) {
                firstParts.push(parts.length - 1);
            }
            (parts.at(-1) as Record<string, string>)[itemId] = text;
            // Nothing is added to an object with a piece of a body.
            sizeBytes = texts.length > 1 ? Infinity : sizeBytes + textBytes;
        }
    }
    return { parts: parts.length === 0 ? [{}] : parts, firstParts };
}
