import { isSameDigest, sha256Hex } from "@heatherline/common";
import { randomBytes } from "node:crypto";
import type { KeyDocument } from "./documents";
import type { ConfigReplica } from "./replica";

const KEY_PATTERN = /^hl_([0-9a-f]{8,64})_([0-9a-f]{16,128})$/;
const KEY_ID_BYTES = 8;
const SECRET_BYTES = 24;

/** A new API key. Its secret is shown once and not stored. */
export interface IssuedKey {
    readonly secretKey: string;
    readonly document: KeyDocument;
}

/**
 * @param organisation - Organisation that the key is for.
 * @returns The key, and the document to store, which contains only a digest of the secret.
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
 * @param replica - This instance's copy of the configuration.
 * @returns The document of the key if the token is valid and the key is active.
 */
export function authenticateKey(secretKey: string, replica: ConfigReplica): KeyDocument | undefined {
    const match = KEY_PATTERN.exec(secretKey);
    const key = match?.[1] === undefined ? undefined : replica.getKey(match[1]);
    if (key === undefined || key.state !== "active") {
        return undefined;
    }
    return isSameDigest(sha256Hex(match?.[2] ?? ""), key.secretSha256) ? key : undefined;
}
