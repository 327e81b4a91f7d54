import { getJsonBytes } from "../objectSize";
import { splitText } from "./resultChunks";

/** Limit of the bodies in one object, as JSON in UTF-8. */
const MAX_PART_BYTES = 700_000;
/** Quotes are counted with each text; a colon and a comma are not. */
const ENTRY_FRAMING_BYTES = 2;

/** Bodies in base64 in one object, by item id. */
export type BodyPart = Readonly<Record<string, string>>;

/** The bodies of a job as the store has them. */
export interface StoredBodies {
    /** What each object holds. A body that is too large for one object is split over several. */
    readonly parts: readonly BodyPart[];
    /** For each item, the index of the object with the beginning of its body. */
    readonly firstParts: readonly number[];
}

/**
 * Splits the bodies of a job into objects that the store accepts.
 *
 * @param bodies - Bodies in base64, by item id.
 * @returns The objects; at least one.
 */
export function splitBodies(bodies: ReadonlyMap<string, string>): StoredBodies {
    const parts: Record<string, string>[] = [];
    const firstParts: number[] = [];
    let sizeBytes = Infinity;
    for (const [itemId, body] of bodies) {
        const idBytes = getJsonBytes(itemId) + ENTRY_FRAMING_BYTES;
        const texts = idBytes + getJsonBytes(body) > MAX_PART_BYTES ? splitText(body, MAX_PART_BYTES) : [body];
        for (const [index, text] of texts.entries()) {
            const textBytes = idBytes + getJsonBytes(text);
            if (texts.length > 1 || sizeBytes + textBytes > MAX_PART_BYTES) {
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
