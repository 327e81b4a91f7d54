import type { BodyFraming } from "@heatherline/common";
import type { SendFailure } from "./endpointClient";

/** Path at which instances relay requests of others. */
export const RELAY_PATH = "/relay";
/** Names the endpoint in a relayed response; a response without it comes from an instance that can't relay. */
export const RELAYED_ENDPOINT_HEADER = "relayed-endpoint";
/** Says how the endpoint marked the end of the response that is relayed. */
export const RELAYED_FRAMING_HEADER = "relayed-framing";
/** Says why there is no relayed response. */
export const RELAY_FAILURE_HEADER = "relay-failure";
const LENGTH_BYTES = 4;

/** The head of a request that an instance sends through another one. */
export interface RelayRequestHead {
    readonly requestId: string;
    readonly endpointId: string;
    /** What the asking instance takes the endpoint for; its id may be registered anew meanwhile. */
    readonly service: string;
    readonly softwareVersion: string;
    /** The instance that asks. */
    readonly instanceId: string;
    readonly method: string;
    readonly path: string;
    /** Names and values alternating. */
    readonly headers: readonly string[];
    readonly mayReuseConnection: boolean;
}

/**
 * Why an instance has no response to relay.
 *
 * - `stranded`: it reaches no endpoint itself. Not sent.
 * - `busy`: it relays as much as it can. Not sent.
 * - `stopping`: it is about to stop. Not sent.
 * - `not-usable`: it doesn't know the endpoint, or knows that the endpoint takes no requests. Not sent.
 * - the rest: as for a request that the instance had sent itself.
 */
export type RelayFailure = "stranded" | "busy" | "stopping" | "not-usable" | SendFailure["kind"];

const FAILURES: ReadonlySet<string> = new Set<RelayFailure>([
    "stranded",
    "busy",
    "stopping",
    "not-usable",
    "unreachable",
    "unsendable",
    "broken",
    "invalid-response",
    "aborted",
    "no-path",
]);

/**
 * @param text - Value of a header.
 * @returns Whether it names a {@link RelayFailure}.
 */
export function isRelayFailure(text: string): text is RelayFailure {
    return FAILURES.has(text);
}

const FRAMINGS: ReadonlySet<string> = new Set<BodyFraming>(["none", "length", "chunked", "connection"]);

/**
 * @param value - Value of a header.
 * @returns The framing that it names, if it names one.
 */
export function toBodyFraming(value: string | string[] | undefined): BodyFraming | undefined {
    return typeof value === "string" && FRAMINGS.has(value) ? value as BodyFraming : undefined;
}

/**
 * @param head - Head of a request.
 * @param body - Its body.
 * @returns Both as one message.
 */
export function encodeRelayRequest(head: RelayRequestHead, body: Buffer): Buffer {
    const headBytes = Buffer.from(JSON.stringify(head), "utf8");
    const length = Buffer.alloc(LENGTH_BYTES);
    length.writeUInt32BE(headBytes.length);
    return Buffer.concat([length, headBytes, body]);
}

/**
 * @param message - A message of {@link encodeRelayRequest}.
 * @returns The head and the body, or `undefined` if it is none.
 */
export function decodeRelayRequest(message: Buffer): { head: RelayRequestHead; body: Buffer; } | undefined {
    if (message.length < LENGTH_BYTES) {
        return undefined;
    }
    const bodyAt = LENGTH_BYTES + message.readUInt32BE();
    try {
        const head = JSON.parse(message.toString("utf8", LENGTH_BYTES, bodyAt)) as RelayRequestHead;
        return { head, body: message.subarray(bodyAt) };
    }
    catch {
        return undefined;
    }
}
