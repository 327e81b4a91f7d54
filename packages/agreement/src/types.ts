import type { Result } from "neverthrow";
import type { Coverage } from "./coverage";
import type { PeerError } from "./errors";

/** Validity of a data centre's lease, and of the member leases granted under it, in milliseconds. */
export const LEASE_TERM_MS = 2_000;
/** Time that a candidate waits after the lease term before it takes the lease over, in milliseconds. */
export const TAKEOVER_MARGIN_MS = 200;
/** Interval of a member's heartbeats to the lease holder, and of lease renewals in the store, in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 500;
/** Longest validity of any grant that an owner makes, in milliseconds. */
export const MAX_GRANT_TTL_MS = 2_000;

/** Identity of one process. */
export interface AgreementIdentity {
    readonly instanceId: string;
    /** Identifies this start of the instance; a restart has another one. */
    readonly incarnation: string;
    readonly dataCentre: string;
}

/** Sends RPCs to other instances. */
export interface PeerTransport {
    /**
     * @param peerId - The instance to call.
     * @param method - JSON-RPC method.
     * @param params - Parameters.
     * @param timeoutMs - Timeout in milliseconds.
     * @returns The reply.
     */
    call<Reply>(peerId: string, method: string, params: object, timeoutMs: number): Promise<Result<Reply, PeerError>>;
}

/** Members of a data centre, under one epoch of its lease. Each subject is owned by one of them. */
export interface MemberTable {
    /** Increases each time an instance acquires the lease. */
    readonly epoch: number;
    /** Increases with each change of the members, across all epochs. */
    readonly version: number;
    /** Instance that holds the lease. */
    readonly holder: string;
    readonly members: readonly string[];
    readonly coverage: Coverage;
}

/** A data centre's lease as stored. */
export interface LeaseRecord extends MemberTable {
    /** Incarnation of the lease holder that wrote it; a restarted process counts as another holder. */
    readonly incarnation: string;
    /** Counts renewals, so that each write changes the object. */
    readonly renewal: number;
    /** State that outlives the lease holder, such as whether its data centre has a share of the rate limits. */
    readonly durable: Record<string, unknown>;
    /** Whether the lease holder has released the lease, so that no candidate has to wait for it to expire. */
    readonly isReleased: boolean;
}

/** Heartbeat from a member, or from a joining instance, to the lease holder. */
export interface Heartbeat {
    readonly from: string;
    readonly incarnation: string;
    /** Newest epoch that the member knows. */
    readonly epoch: number;
    /** Version of the table that the member used last; 0 when it has used none. */
    readonly tableVersion: number;
    /**
     * The last stamp received from the lease holder of that epoch. It stands for the member's promise not to take the
     * lease over for one term.
     */
    readonly acknowledged: { readonly epoch: number; readonly stamp: number; } | undefined;
    /** Version of the table for which the member has sent its state to all other members; 0 while it has not. */
    readonly syncedVersion: number;
    /** Whether the member is shutting down and gives up its ownership. */
    readonly isLeaving: boolean;
}

/** The lease holder's reply to a heartbeat. */
export interface HeartbeatReply {
    readonly table: MemberTable;
    /** Time on the lease holder's monotonic clock; only the lease holder interprets it. */
    readonly stamp: number;
    /** Validity of the member lease in milliseconds, from when the heartbeat was sent; 0 for no member lease. */
    readonly remainingMs: number;
    /** Whether no member uses an older table any more. */
    readonly isSettled: boolean;
    /** State that the lease holder broadcasts in its data centre. */
    readonly notes: Record<string, unknown>;
}
