import { monotonicMs } from "@heatherline/common";
import { type Exchange, type Filter, getEndReason, type Next, type Outcome } from "../exchange";

/** How one exchange ended, for logs, metrics and the audit record. */
export interface ExchangeRecord {
    readonly requestId: string;
    readonly workClass: string;
    readonly method: string;
    readonly path: string;
    readonly service: string | undefined;
    readonly route: string | undefined;
    readonly organisation: string | undefined;
    readonly keyId: string | undefined;
    readonly model: string | undefined;
    readonly endpoint: string | undefined;
    readonly attempts: number;
    /** HTTP status sent to the caller. */
    readonly status: number;
    /** Error code of the refusal; `undefined` if an endpoint's response was delivered. */
    readonly code: string | undefined;
    readonly notRun: boolean | "unknown" | undefined;
    readonly endReason: string | undefined;
    readonly admittedAt: number | undefined;
    readonly durationMs: number;
    readonly queuedMs: number | undefined;
    readonly firstByteMs: number | undefined;
    readonly answerBytes: number;
}

/** Receives the record of each exchange. */
export type RecordListener = (record: ExchangeRecord, outcome: Outcome) => void;

/** The first filter: records how each exchange ended, whatever the other filters do. */
export class RecordFilter implements Filter {
    readonly name = "record";

    /**
     * @param onRecord - Receives each record.
     */
    constructor(private readonly onRecord: RecordListener) {}

    async handle(exchange: Exchange, next: Next): Promise<Outcome> {
        const outcome = await next(exchange);
        this.onRecord(newRecord(exchange, outcome), outcome);
        return outcome;
    }
}

function newRecord(exchange: Exchange, outcome: Outcome): ExchangeRecord {
    const refusal = outcome.isErr() ? outcome.error : undefined;
    return {
        requestId: exchange.requestId,
        workClass: exchange.workClass,
        method: exchange.method,
        path: exchange.path.split("?")[0] ?? "",
        service: exchange.service?.service,
        route: exchange.route?.path,
        organisation: exchange.organisation?.organisation,
        keyId: exchange.keyId,
        model: exchange.model,
        endpoint: exchange.endpoint,
        attempts: exchange.attempts,
        status: outcome.isOk() ? outcome.value.status : outcome.error.status,
        code: refusal?.kind,
        notRun: refusal?.notRun,
        endReason: getEndReason(exchange),
        admittedAt: exchange.admittedAt,
        durationMs: monotonicMs() - exchange.startedAtMs,
        queuedMs: exchange.queuedMs,
        firstByteMs: exchange.firstByteMs,
        answerBytes: exchange.answerBytes,
    };
}
