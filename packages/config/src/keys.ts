import { isSameDigest, sha256Hex } from "@heatherline/common";
import { randomBytes } from "node:crypto";
import type { KeyDocument } from "./documents";
import type { ConfigReplica } from "./replica";

const KEY_PATTERN = /^hl_([0-9a-f]{8,64})_([0-9a-f]{16,128})$/;
const KEY_ID_BYTES = 8;
const SECRET_BYTES = 24;

/** A key as its holder gets it, once. */
export interface IssuedKey {
    readonly secretKey: string;
    readonly document: KeyDocument;
}

/**
 * @param organisation - Whom the key is for.
 * @returns The key and the document that is kept, which holds a digest only.
 */
export function newKey(organisation: string): IssuedKey {
    const keyId = randomBytes(KEY_ID_BYTES).toString("hex");
    const secret = randomBytes(SECRET_BYTES).toString("hex");
    return {
        secretKey: `hl_${keyId}_${secret}`,
        document: { kind: "key", keyId, organisation, secretSha256: sha256Hex(secret), state: "active" },
    };
}

/**
 * @param secretKey - The bearer token of a request.
 * @param replica - The configuration in force.
 * @returns The active key it proves, if any.
 */
export function authenticateKey(secretKey: string, replica: ConfigReplica): KeyDocument | undefined {
    const match = KEY_PATTERN.exec(secretKey);
    const key = match?.[1] === undefined ? undefined : replica.getKey(match[1]);
    if (key === undefined || key.state !== "active") {
        return undefined;
    }
    return isSameDigest(sha256Hex(match?.[2] ?? ""), key.secretSha256) ? key : undefined;
}
