import { LayerError } from "@heatherline/common";

/**
 * - `unreachable`: the peer does not accept connections; the call was not processed.
 * - `lost`: no reply came; the call may have been processed.
 * - `refused`: the peer replied with an error.
 * - `unknown-peer`: no address is known for the peer.
 */
export type PeerErrorKind = "unreachable" | "lost" | "refused" | "unknown-peer";

/** An error of an RPC from one instance to another. */
export class PeerError extends LayerError<PeerErrorKind> {
    /**
     * @param kind - What went wrong.
     * @param message - One human-readable sentence.
     * @param cause - The underlying error.
     */
    constructor(kind: PeerErrorKind, message: string, cause?: unknown) {
        super("peer", kind, message, cause);
    }
}
