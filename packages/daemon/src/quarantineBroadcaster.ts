import type { PeerTransport } from "@heatherline/agreement";
import { type BlockedPrompt, type EndpointCrash, type Logger, sleep } from "@heatherline/common";
import type { ConfigWriter } from "@heatherline/config";
import { type CrashReport, CrashSuspectRegistry } from "@heatherline/serving";
import type { PeerDirectory } from "./peerDirectory";

const CALL_TIMEOUT_MS = 700;
const WRITE_RETRY_DELAY_MS = 2_000;
const WRITE_ATTEMPTS = 1_800;
/** Crashes after it was blocked for which a part of prompts is quarantined for good. */
const LATER_CRASHES_TO_QUARANTINE = 2;

/** Message between instances about requests that may crash endpoints. All values are fingerprints of requests. */
export interface SuspectUpdate {
    /** Requests that were running when an endpoint crashed. */
    readonly suspects: readonly string[];
    /** A request that was shown to crash endpoints. */
    readonly culprit?: string;
    /** A former suspect that was shown not to crash endpoints. */
    readonly cleared?: string;
    /** A crash that a part of a prompt may have caused. */
    readonly promptCrash?: EndpointCrash | undefined;
}

/**
 * Shares suspicions about requests that crash endpoints with all instances, and writes a quarantine document to the
 * store for each request that was shown to crash endpoints.
 */
export class QuarantineBroadcaster {
    readonly suspects: CrashSuspectRegistry;

    /**
     * @param writer - Writes documents to the store.
     * @param peerDirectory - Known instances.
     * @param transport - Calls to them.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly writer: ConfigWriter,
        private readonly peerDirectory: PeerDirectory,
        private readonly transport: PeerTransport,
        private readonly logger: Logger,
    ) {
        this.suspects = new CrashSuspectRegistry(
            report => this.onCrash(report),
            fingerprint => this.broadcast({ suspects: [], cleared: fingerprint }),
            (prompt, isEnded) => this.onPromptChange(prompt, isEnded),
        );
    }

    /**
     * Applies what another instance has found out.
     *
     * @param update - The message of the other instance.
     */
    handleUpdate(update: SuspectUpdate): void {
        this.suspects.add(update.suspects);
        if (update.culprit !== undefined) {
            this.suspects.quarantine(update.culprit);
        }
        if (update.cleared !== undefined) {
            this.suspects.clear(update.cleared);
        }
        if (update.promptCrash !== undefined) {
            this.suspects.partTracker.recordCrash(update.promptCrash);
        }
    }

    private onPromptChange(prompt: BlockedPrompt, isEnded: boolean): void {
        this.logger.warn({ ...prompt, isEnded }, "requests with parts of prompts that crash endpoints");
        const { parts, laterCrashes } = prompt;
        const [part, ...others] = parts;
        if (!isEnded && laterCrashes >= LATER_CRASHES_TO_QUARANTINE && part !== undefined && others.length === 0) {
            void this.persist(part);
        }
    }

    private onCrash(report: CrashReport): void {
        this.logger.warn({ ...report }, "endpoint crashed with requests running");
        const { fingerprints, culprit, promptCrash } = report;
        this.broadcast({ suspects: fingerprints, culprit, promptCrash });
        if (report.culprit !== undefined) {
            void this.persist(report.culprit);
        }
    }

    private broadcast(update: SuspectUpdate): void {
        for (const { instanceId } of this.peerDirectory.getPeers()) {
            void this.transport.call(instanceId, "suspects.note", update, CALL_TIMEOUT_MS);
        }
    }

    private async persist(fingerprint: string): Promise<void> {
        const document = { kind: "quarantine", fingerprint, organisation: "", state: "active" };
        for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
            const written = await this.writer.write(document);
            if (written.isOk() || written.error.kind === "conflict") {
                return;
            }
            await sleep(WRITE_RETRY_DELAY_MS);
        }
    }
}
