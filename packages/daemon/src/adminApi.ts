import {
    type ConfigError,
    type ConfigReplica,
    type ConfigWriter,
    type DocumentKind,
    getDocumentPath,
} from "@heatherline/config";
import type { AuditPage, BurnRow } from "@heatherline/reports";
import type { StoreError } from "@heatherline/store";
import type { Result } from "neverthrow";
import type http from "node:http";
import { readBody, sendJson } from "./http";

const PATH_PREFIX = "/admin/";
const MAX_DOCUMENT_BYTES = 900_000;
const MINUTE_PATTERN = /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}$/;
const LOOPBACK_ADDRESSES = new Set(["127.0.0.1", "::1", "::ffff:127.0.0.1"]);

const ERROR_STATUS: Record<ConfigError["kind"], number> = {
    invalid: 422,
    conflict: 409,
    unavailable: 503,
    unknown: 502,
};

/** State of one instance, as `GET /admin/status` and `status.get` report it. */
export interface InstanceStatus {
    readonly instanceId: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly version: string;
    readonly isReady: boolean;
    readonly isLeaseHolder: boolean;
    /** Epoch of the data centre's lease; 0 if the instance has no active member table. */
    readonly epoch: number;
    /** Instances in the active member table of the data centre. */
    readonly members: readonly string[];
    readonly configDigest: string;
    /** Time since the store last confirmed that the instance's configuration is current, in milliseconds. */
    readonly storeAgeMs: number;
    /** Number of requests in flight. */
    readonly inFlight: number;
    readonly activeJobs: number;
    /** Path of each document whose newest version was rejected as invalid, with that version. */
    readonly invalidDocuments: Record<string, number>;
    /** Number of invariant violations since the start. */
    readonly violations: number;
    readonly endpoints: readonly {
        readonly endpoint: string;
        readonly credits: number;
        readonly limit: number;
        readonly online: number;
        readonly batch: number;
        readonly isWarm: boolean;
    }[];
}

/** Version of a document that an instance has in force. */
export interface InForceEntry {
    readonly instanceId: string;
    readonly dataCentre: string;
    /** The version in force on the instance; absent if the instance didn't answer. */
    readonly version?: number;
}

/** Parts of the daemon that the operators' API uses. */
export interface AdminApiDependencies {
    readonly replica: ConfigReplica;
    readonly writer: ConfigWriter;
    readonly operatorToken: string | undefined;
    /** Sends a document that was just accepted to all peers. */
    readonly pushDocument: (path: string) => void;
    /** @returns The state of this and of all other reachable instances, and the ids of those that didn't answer. */
    readonly collectStatus: () => Promise<{ heard: InstanceStatus[]; silent: string[]; }>;
    /**
     * @param from - First minute, `YYYY-MM-DDTHH:MM` in UTC.
     * @param to - Last minute, in the same format.
     * @returns A page of the audit log.
     */
    readonly readAudit: (from: string, to: string) => Promise<Result<AuditPage, StoreError>>;
    /** @returns Error budget burn of all service level objectives, over all reachable instances. */
    readonly collectBurn: () => Promise<{ rows: BurnRow[]; silent: string[]; }>;
    /** @returns The version of a document that each instance has in force. */
    readonly collectInForce: (path: string) => Promise<InForceEntry[]>;
}

/** Serves the operators' API under `/admin/`. */
export class AdminApi {
    /**
     * @param dependencies - Parts of the daemon that the API uses.
     */
    constructor(private readonly dependencies: AdminApiDependencies) {}

    /**
     * @param path - Path of a request.
     * @returns Whether the path belongs to this API.
     */
    static isAdminPath(path: string): boolean {
        return path.startsWith(PATH_PREFIX);
    }

    /**
     * Serves a request if the operator is allowed to make it. Without an operator token, only requests from the
     * instance's own host are allowed.
     *
     * @param request - The operator's request.
     * @param response - The response.
     */
    async serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        if (!this.isAllowed(request)) {
            sendJson(response, 401, { error: "not-allowed", message: "the operator token is missing or wrong" });
            request.resume();
            return;
        }
        const url = new URL(request.url ?? "/", "http://localhost");
        const [resource = "", kind = "", id = ""] = url.pathname.slice(PATH_PREFIX.length).split("/");
        switch (`${request.method ?? ""} ${resource}`) {
            case "PUT documents":
                return this.putDocument(request, response, url.searchParams.get("expected"));
            case "GET documents":
                return this.getDocuments(response, kind as DocumentKind, id);
            case "GET status":
                return sendJson(response, 200, await this.dependencies.collectStatus());
            case "GET in-force": {
                const path = url.searchParams.get("path") ?? "";
                return sendJson(response, 200, { path, instances: await this.dependencies.collectInForce(path) });
            }
            case "GET slo-burn":
                return sendJson(response, 200, await this.dependencies.collectBurn());
            case "GET audit":
                return this.getAudit(response, url.searchParams.get("from") ?? "", url.searchParams.get("to") ?? "");
            default:
                return sendJson(response, 404, { error: "not-found", message: `there is no route ${url.pathname}` });
        }
    }

    private isAllowed(request: http.IncomingMessage): boolean {
        const { operatorToken } = this.dependencies;
        return operatorToken === undefined
            ? LOOPBACK_ADDRESSES.has(request.socket.remoteAddress ?? "")
            : request.headers["x-operator-token"] === operatorToken;
    }

    private async putDocument(
        request: http.IncomingMessage,
        response: http.ServerResponse,
        expected: string | null,
    ): Promise<void> {
        const body = await readBody(request, MAX_DOCUMENT_BYTES);
        if (body.isErr()) {
            sendJson(response, body.error.status, { error: body.error.kind, message: body.error.message });
            return;
        }
        let document: unknown;
        try {
            document = JSON.parse(body.value.toString("utf8"));
        }
        catch {
            sendJson(response, 400, { error: "invalid", message: "the body is not valid JSON", faults: [] });
            return;
        }
        const written = await this.dependencies.writer.write(
            document,
            expected === null ? undefined : Number(expected),
        );
        if (written.isErr()) {
            const { kind, message, faults } = written.error;
            sendJson(response, ERROR_STATUS[kind], { error: kind, message, faults });
            return;
        }
        this.dependencies.pushDocument(written.value.path);
        sendJson(response, 200, written.value);
    }

    private async getAudit(response: http.ServerResponse, from: string, to: string): Promise<void> {
        if (!MINUTE_PATTERN.test(from) || !MINUTE_PATTERN.test(to)) {
            sendJson(response, 400, {
                error: "invalid",
                message: "from and to must be minutes, YYYY-MM-DDTHH:MM, in UTC",
            });
            return;
        }
        const page = await this.dependencies.readAudit(from, to);
        if (page.isErr()) {
            sendJson(response, 503, { error: "unavailable", message: "the store can't be reached" });
            return;
        }
        sendJson(response, 200, page.value);
    }

    private getDocuments(response: http.ServerResponse, kind: DocumentKind, id: string): void {
        const { replica } = this.dependencies;
        if (id === "") {
            sendJson(response, 200, { documents: replica.getDocuments(kind) });
            return;
        }
        const path = getDocumentPath(kind, id);
        const [document] = replica.export([path]);
        if (document?.value === undefined) {
            sendJson(response, 404, { error: "not-found", message: `there is no ${kind} ${id}` });
            return;
        }
        const { writeIds: unusedWriteIds, ...value } = document.value;
        sendJson(response, 200, { path, version: document.version, document: value });
    }
}
