import { sha256Hex } from "@heatherline/common";

/**
 * @param messages - Messages of a chat request.
 * @returns Hashes of the messages that other requests may share: all but the last.
 */
export function getPromptParts(messages: readonly unknown[]): string[] {
    return messages.slice(0, -1).map(message => sha256Hex(JSON.stringify(message)));
}
