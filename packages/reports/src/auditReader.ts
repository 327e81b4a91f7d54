import type { ObjectStore, StoreError } from "@heatherline/store";
import { ok, type Result } from "neverthrow";
import { gunzipSync } from "node:zlib";
import { AUDIT_HOURS_PREFIX, AUDIT_SEGMENTS_PREFIX, type AuditSegment } from "./auditLog";

const MINUTES_PER_HOUR = 60;

/** A page of the audit log. */
export interface AuditPage {
    /** Entries as lines of JSON. */
    readonly lines: readonly string[];
    /** Minute to pass as `from` for the next page, as `YYYY-MM-DDTHH:MM`; absent on the last page. */
    readonly next?: string;
}

/**
 * Reads the audit log of any time range one minute at a time, so that memory use doesn't grow with the range. An entry
 * belongs to the minute in which it was written to the store, which is up to a flush interval after the end of the
 * request, or later if the store was down.
 */
export class AuditReader {
    /**
     * @param store - The platform's store.
     */
    constructor(private readonly store: ObjectStore) {}

    /**
     * Reads the first minute of a time range that has entries.
     *
     * @param from - First minute of the range, as `YYYY-MM-DDTHH:MM` in UTC.
     * @param to - Last minute, inclusive, in the same format.
     * @returns The entries of that minute, and the minute at which the next page starts. A page without lines
     * has no `next`: no entries are left in the range. Returns the store's error if a call to the store fails.
     */
    async readPage(from: string, to: string): Promise<Result<AuditPage, StoreError>> {
        const hours = await this.store.list(AUDIT_HOURS_PREFIX);
        if (hours.isErr()) {
            return hours.map(() => ({ lines: [] }));
        }
        const hoursInRange = hours.value.objects
            .map(({ path }) => path.slice(AUDIT_HOURS_PREFIX.length))
            .filter(hour => hour >= from.slice(0, 13) && hour <= to.slice(0, 13));
        for (const hour of hoursInRange) {
            for (let minuteOfHour = 0; minuteOfHour < MINUTES_PER_HOUR; minuteOfHour += 1) {
                const minuteText = `${hour}:${String(minuteOfHour).padStart(2, "0")}`;
                if (minuteText < from || minuteText > to) {
                    continue;
                }
                const segments = await this.store.list(`${AUDIT_SEGMENTS_PREFIX}${hour}/${minuteText.slice(14)}/`);
                if (segments.isErr()) {
                    return segments.map(() => ({ lines: [] }));
                }
                if (segments.value.objects.length > 0) {
                    const lines = segments.value.objects.flatMap(({ value }) =>
                        decompressLines(value as unknown as AuditSegment)
                    );
                    return ok({ lines, next: getNextMinute(minuteText) });
                }
            }
        }
        return ok({ lines: [] });
    }
}

function decompressLines(segment: AuditSegment): string[] {
    return gunzipSync(Buffer.from(segment.gzipBase64, "base64")).toString("utf8").split("\n");
}

function getNextMinute(minuteText: string): string {
    return new Date(Date.parse(`${minuteText}:00Z`) + 60_000).toISOString().slice(0, 16);
}
