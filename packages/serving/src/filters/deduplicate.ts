import { sha256Hex, sleep } from "@heatherline/common";
import { err, ok } from "neverthrow";
import type { Claim, ClaimDecision, ClaimOutcome, StoredResponse } from "../claims";
import { Refusal } from "../errors";
import type { Exchange, Filter, Next, Outcome, ResponseSink } from "../exchange";

/** Calls the owner of a claim. */
export interface ClaimService {
    /**
     * @param claim - The claim that the request would make.
     * @returns How the request is handled.
     */
    begin(claim: Claim): Promise<ClaimDecision>;
    /**
     * @param claim - The claim that was made.
     * @param outcome - How the request ended.
     */
    end(claim: Claim, outcome: ClaimOutcome): Promise<void>;
}

const IDEMPOTENCY_HEADER = "idempotency-key";
const MAX_KEY_CHARACTERS = 255;
/** A larger response is not stored: a retry with the same key is then told that the outcome is unknown. */
const MAX_STORED_BYTES = 65_536;
const RETRY_AFTER_MS = 1_000;
/** Time after the timeout of its route at which a request has certainly ended. */
const CLAIM_GRACE_MS = 5_000;
/** Longest time for which a response is withheld until its claim ends; a call to a peer takes a few milliseconds. */
const MAX_CLAIM_END_WAIT_MS = 200;

/** Ensures that a non-idempotent request that is retried with the same idempotency key never runs twice. */
export class DeduplicateFilter implements Filter {
    readonly name = "deduplicate";

    /**
     * @param claims - Calls the owners of claims.
     */
    constructor(private readonly claims: ClaimService) {}

    async handle(exchange: Exchange, next: Next): Promise<Outcome> {
        const key = exchange.headers[IDEMPOTENCY_HEADER];
        const isNeeded = key !== undefined && exchange.route?.idempotent === false && exchange.workClass === "online";
        if (!isNeeded) {
            return next(exchange);
        }
        if (typeof key !== "string" || key.length === 0 || key.length > MAX_KEY_CHARACTERS) {
            const message = `Idempotency-Key must have 1 to ${MAX_KEY_CHARACTERS} characters`;
            return err(new Refusal("bad-request", 400, message, true));
        }
        const claim = newClaim(exchange, key);
        const decision = await this.claims.begin(claim);
        if (decision.kind !== "run") {
            return respondToDuplicate(decision, exchange);
        }
        const recorder = new RecordingSink(exchange.sink);
        exchange.sink = recorder;
        const outcome = await next(exchange);
        const claimEnded = this.claims.end(claim, getClaimOutcome(outcome, recorder));
        // A caller that retries the request after a complete response must find that its claim has ended.
        await Promise.race([claimEnded, sleep(MAX_CLAIM_END_WAIT_MS)]);
        recorder.releaseWithheld();
        await claimEnded;
        return outcome;
    }
}

function newClaim(exchange: Exchange, key: string): Claim {
    const organisation = exchange.organisation?.organisation ?? "";
    return {
        key: `${exchange.service?.service ?? ""}|${organisation}|${key}`,
        bodySha256: sha256Hex(`${exchange.method} ${exchange.upstreamPath ?? ""}\n${sha256Hex(exchange.body)}`),
        requestId: exchange.requestId,
        state: "running",
        timeoutMs: (exchange.route?.timeoutMs ?? 0) + CLAIM_GRACE_MS,
    };
}

function getClaimOutcome(outcome: Outcome, recorder: RecordingSink): ClaimOutcome {
    if (outcome.isErr()) {
        return outcome.error.notRun === true ? { kind: "not-run" } : { kind: "unknown" };
    }
    const answer = recorder.getStoredResponse();
    return answer === undefined ? { kind: "unknown" } : { kind: "answered", answer };
}

function respondToDuplicate(decision: Exclude<ClaimDecision, { kind: "run"; }>, exchange: Exchange): Outcome {
    switch (decision.kind) {
        case "answered": {
            const { status, headers, bodyBase64 } = decision.answer;
            const body = Buffer.from(bodyBase64, "base64");
            exchange.sink.begin(status, {
                ...headers,
                "idempotency-replayed": "true",
                "content-length": String(body.length),
            });
            void exchange.sink.write(body);
            exchange.sink.end();
            return ok({ status });
        }
        case "running":
            return err(
                new Refusal("already-running", 409, "the same request is running now", "unknown", RETRY_AFTER_MS),
            );
        case "unknown":
            return err(
                new Refusal("outcome-unknown", 409, "the same request may have run; it is not run again", "unknown"),
            );
        case "mismatch":
            return err(new Refusal("idempotency-mismatch", 422, "the key was used for another request", true));
        case "unavailable": {
            const message = "it is not known now whether the same request has run";
            return err(new Refusal("idempotency-unavailable", 503, message, true, RETRY_AFTER_MS));
        }
    }
}

/** Stores a copy of a short response while it is sent to the caller, and withholds the part that would complete it. */
class RecordingSink implements ResponseSink {
    private readonly chunks: Buffer[] = [];
    private sizeBytes = 0;
    private status = 0;
    private headers: Record<string, string> = {};
    private isComplete = false;
    private lengthBytes = Infinity;
    private withheld: Buffer | undefined;

    constructor(private readonly target: ResponseSink) {}

    get hasBegun(): boolean {
        return this.target.hasBegun;
    }

    begin(status: number, headers: Record<string, string>): void {
        this.status = status;
        this.headers = headers;
        this.lengthBytes = Number(headers["content-length"] ?? Infinity);
        this.target.begin(status, headers);
    }

    write(chunk: Buffer): Promise<void> | undefined {
        this.sizeBytes += chunk.length;
        if (this.sizeBytes <= MAX_STORED_BYTES) {
            this.chunks.push(chunk);
        }
        if (this.sizeBytes >= this.lengthBytes) {
            this.withheld = chunk;
            return undefined;
        }
        return this.target.write(chunk);
    }

    end(): void {
        this.isComplete = true;
    }

    abort(): void {
        this.withheld = undefined;
        this.target.abort();
    }

    /** Sends the withheld part, which completes the response. */
    releaseWithheld(): void {
        if (this.withheld !== undefined) {
            void this.target.write(this.withheld);
        }
        if (this.isComplete) {
            this.target.end();
        }
    }

    getStoredResponse(): StoredResponse | undefined {
        if (!this.isComplete || this.sizeBytes > MAX_STORED_BYTES) {
            return undefined;
        }
        const bodyBase64 = Buffer.concat(this.chunks).toString("base64");
        return { status: this.status, headers: this.headers, bodyBase64 };
    }
}
