import { type Logger, newId, startLoop } from "@heatherline/common";
import { type ObjectStore, putWithReadBack } from "@heatherline/store";
import { promisify } from "node:util";
import { gzip } from "node:zlib";

/** An entry of the audit log, which records how one request ended. */
export type AuditEntry = Record<string, unknown> & { readonly at: string; };

/** A stored segment: consecutive entries of one instance, in one object of the store. */
export interface AuditSegment {
    readonly instance: string;
    readonly entryCount: number;
    /** The entries as lines of JSON, compressed with gzip and encoded in Base64. */
    readonly gzipBase64: string;
}

/** Path prefix of segments; the rest is `YYYY-MM-DDTHH/MM/NAME`, with the UTC time at which the segment was written. */
export const AUDIT_SEGMENTS_PREFIX = "audit/segments/";
/** Path prefix of the markers of hours that have segments; the rest is `YYYY-MM-DDTHH`. */
export const AUDIT_HOURS_PREFIX = "audit/hours/";

const compress = promisify(gzip);
const FLUSH_INTERVAL_MS = 5_000;
/** Uncompressed size; small enough that compressing a segment doesn't delay requests. */
const MAX_SEGMENT_BYTES = 128_000;
/** Limit on the entries kept in memory while the store is down; beyond it the oldest are dropped and counted. */
const MAX_BUFFERED_BYTES = 16_000_000;

/** How many entries this instance has recorded, written to the store, and lost. */
export interface AuditCounts {
    /** Entries recorded, whether or not they have been written. */
    noted: number;
    written: number;
    /** Entries dropped because the buffer was full. */
    lost: number;
}

/**
 * Buffers an audit entry for each request and writes the entries to the store in segments. When the instance crashes,
 * the entries in the buffer are lost: at most those of one flush interval, or of a store outage.
 */
export class AuditLog {
    readonly counts: AuditCounts = { noted: 0, written: 0, lost: 0 };
    private readonly incarnation = newId();
    private bufferedLines: string[] = [];
    private bufferedBytes = 0;
    private lostSinceWrite = 0;
    private sequence = 0;
    private markedHour = "";
    private flushing: Promise<void> | undefined;
    private stopLoop: (() => Promise<void>) | undefined;

    /**
     * @param store - The platform's store.
     * @param instance - Name of this instance.
     * @param logger - Logger of the daemon.
     */
    constructor(
        private readonly store: ObjectStore,
        private readonly instance: string,
        private readonly logger: Logger,
    ) {}

    /** Starts writing the buffered entries to the store at a fixed interval. */
    start(): void {
        this.stopLoop = startLoop(() => FLUSH_INTERVAL_MS, () => this.flush());
    }

    /** Stops the periodic writes and writes the remaining entries. */
    async stop(): Promise<void> {
        void this.stopLoop?.();
        await this.flush();
    }

    /**
     * Adds an entry to the buffer; drops the oldest entries when the buffer is full.
     *
     * @param entry - How a request ended.
     */
    addEntry(entry: AuditEntry): void {
        const line = JSON.stringify(entry);
        this.bufferedLines.push(line);
        this.bufferedBytes += line.length;
        this.counts.noted += 1;
        this.dropExcess();
    }

    private dropExcess(): void {
        while (this.bufferedBytes > MAX_BUFFERED_BYTES) {
            const oldest = this.bufferedLines.shift();
            if (oldest === undefined) {
                return;
            }
            this.bufferedBytes -= oldest.length;
            this.counts.lost += 1;
            this.lostSinceWrite += 1;
        }
    }

    /** Writes all buffered entries, unless the store fails; a call during a write waits for that write. */
    flush(): Promise<void> {
        this.flushing ??= this.writeBufferedLines().finally(() => {
            this.flushing = undefined;
        });
        return this.flushing;
    }

    private async writeBufferedLines(): Promise<void> {
        while (this.bufferedLines.length > 0) {
            const segmentLines = this.takeNextSegmentLines();
            if (!await this.writeSegment(segmentLines)) {
                this.bufferedLines.unshift(...segmentLines);
                this.bufferedBytes += getTotalLength(segmentLines);
                this.dropExcess();
                return;
            }
            this.counts.written += segmentLines.length;
        }
    }

    /** Takes the oldest entries out of the buffer, where new ones may displace others while these are written. */
    private takeNextSegmentLines(): string[] {
        let sizeBytes = 0;
        const end = this.bufferedLines.findIndex(line => {
            sizeBytes += line.length;
            return sizeBytes > MAX_SEGMENT_BYTES;
        });
        const segmentLines = this.bufferedLines.splice(0, end > 0 ? end : this.bufferedLines.length);
        this.bufferedBytes -= getTotalLength(segmentLines);
        return segmentLines;
    }

    private async writeSegment(segmentLines: readonly string[]): Promise<boolean> {
        const now = new Date();
        const hour = now.toISOString().slice(0, 13);
        if (!await this.markHour(hour)) {
            return false;
        }
        // Records in the log itself how many entries were dropped, so that auditors see the gap.
        const gapLines = this.lostSinceWrite > 0
            ? [JSON.stringify({ at: now.toISOString(), lostEntries: this.lostSinceWrite })]
            : [];
        const segment: AuditSegment = {
            instance: this.instance,
            entryCount: segmentLines.length,
            gzipBase64: (await compress([...gapLines, ...segmentLines].join("\n"))).toString("base64"),
        };
        const minute = now.toISOString().slice(14, 16);
        const path = `${AUDIT_SEGMENTS_PREFIX}${hour}/${minute}/${this.instance}-${this.incarnation}-${this.sequence}`;
        const reportedLostCount = this.lostSinceWrite;
        const writeResult = await putWithReadBack(this.store, path, { ...segment }, undefined);
        if (writeResult.isErr()) {
            this.logger.warn(
                { error: writeResult.error.toString(), buffered: this.bufferedLines.length },
                "audit segment not written",
            );
            return false;
        }
        this.sequence += 1;
        this.lostSinceWrite -= reportedLostCount;
        return true;
    }

    private async markHour(hour: string): Promise<boolean> {
        if (this.markedHour === hour) {
            return true;
        }
        const markResult = await this.store.put(AUDIT_HOURS_PREFIX + hour, {}, 0);
        if (markResult.isErr() && markResult.error.kind !== "conflict") {
            return false;
        }
        this.markedHour = hour;
        return true;
    }
}

function getTotalLength(lines: readonly string[]): number {
    return lines.reduce((total, line) => total + line.length, 0);
}
