import { FILLER } from "./engine";
import { type CallResult, EVENT_COUNT, type SoakChecks, toEvent } from "./soakChecks";
import type { SoakClient } from "./soakClient";
import { pick, type Random } from "./soakRandom";
import type { LoadTraits } from "./soakVariants";

/** Fault words for request bodies; one is picked at random, so that repeated entries are sent more often. */
const FAULT_WORDS = [
    ...["", "", "", "", "", ""],
    ...["BREAK", "BREAK UNFRAMED", "UNFRAMED", "CRASH", "FULL", "FAIL", "STRAY", "UNSIGNED"],
];
const STREAM_ROUTES = ["once", "again"] as const;
const ROUTES = [...STREAM_ROUTES, "lookup", "write"] as const;
/** What a slow caller reads in a second. */
const SLOW_BYTES_PER_S = 400_000;
/** Headers of requests for tokens. */
export const GENERATION_HEADERS = { Model: "m", "Token-Count": "100,60", "Prompt-Prefix": "a1:50" };

/** Sends online requests to the gateways and checks the responses. */
export class SoakLoad {
    readonly counts = { calls: 0, takenUp: 0, served: 0, refused: 0, failed: 0 };

    /**
     * @param random - Random numbers.
     * @param client - Sends the requests.
     * @param checks - Checks the responses.
     * @param traits - Sizes and numbers.
     * @param takesStreamsUp - Whether callers take up streams that broke off.
     * @param sizeRandom - Random numbers for what only some variants have.
     */
    constructor(
        private readonly random: Random,
        private readonly client: SoakClient,
        private readonly checks: SoakChecks,
        private readonly traits: LoadTraits,
        private readonly takesStreamsUp: boolean,
        private readonly sizeRandom: Random,
    ) {}

    /** Sends one online request and checks its response. */
    async callOnce(): Promise<void> {
        const { hasOnlySoundStreams } = this.traits;
        const route = pick(this.random, hasOnlySoundStreams ? STREAM_ROUTES : ROUTES);
        const faultWord = hasOnlySoundStreams ? "" : pick(this.random, FAULT_WORDS);
        const isStream = route === "once" || route === "again";
        const call = await this.send(route, faultWord, isStream ? GENERATION_HEADERS : {});
        this.count(call);
        this.checks.checkCall(call);
        const lastEventId = getLastEventId(call.body);
        if (this.takesStreamsUp && route === "again" && !call.isComplete && lastEventId !== undefined) {
            await this.takeUp(call, lastEventId);
        }
    }

    /**
     * Sends a request whose prompt has a part beside others; no two prompts are alike.
     *
     * @param part - The part.
     */
    async callWithPart(part: string): Promise<void> {
        const route = pick(this.sizeRandom, STREAM_ROUTES);
        const own = this.client.newId();
        await this.send(route, "", { ...GENERATION_HEADERS, "Prompt-Prefix": `a1:50,${part}:30,${own}:20` });
    }

    /** Takes a stream that broke off up, as callers do, and checks that what they have then is one version's stream. */
    private async takeUp({ requestId, route }: CallResult, lastEventId: number): Promise<void> {
        const headers = { ...GENERATION_HEADERS, "Last-Event-Id": String(lastEventId), Resumes: requestId };
        const next = await this.send(route, "", headers);
        this.counts.takenUp += 1;
        this.checks.checkVersions([requestId, next.requestId]);
        const events = Array.from(
            { length: EVENT_COUNT - lastEventId - 1 },
            (_, index) => toEvent(lastEventId + 1 + index, next.requestId, this.traits.eventFillers),
        );
        if (next.status === 200 && next.isComplete && next.body !== events.join("")) {
            this.checks.record(`${next.requestId}: a stream taken up after event ${lastEventId} has other events`);
        }
    }

    private count({ status, isComplete }: CallResult): void {
        this.counts.calls += 1;
        if (status === 503 || status === 429) {
            this.counts.refused += 1;
        }
        else if (status === 200 && isComplete) {
            this.counts.served += 1;
        }
        else {
            this.counts.failed += 1;
        }
    }

    private async send(
        route: CallResult["route"],
        faultWord: string,
        headers: Record<string, string>,
    ): Promise<CallResult> {
        const requestId = this.client.newId();
        const { bodyBytes, eventFillers, slowCallerPart } = this.traits;
        const sentBody = newBody(faultWord, eventFillers, bodyBytes === 0 ? 0 : this.sizeRandom() * bodyBytes);
        const isSlow = slowCallerPart > 0 && this.sizeRandom() < slowCallerPart;
        const readBytesPerS = isSlow ? SLOW_BYTES_PER_S : Infinity;
        const response = await this.client.request("POST", `/${route}/a`, requestId, sentBody, headers, readBytesPerS);
        if (slowCallerPart > 0 && !isSlow && response.isGivenUp) {
            this.checks.record(`${requestId}: didn't end in time although its caller reads`);
        }
        return { requestId, route, sentBody, eventFillers, ...response };
    }
}

/**
 * @param faultWord - What the engine is to do wrong.
 * @param fillers - Characters in each event beside the numbers.
 * @param fillingBytes - Size of the text that follows.
 * @returns A body that an engine understands.
 */
export function newBody(faultWord: string, fillers: number, fillingBytes: number): string {
    const fill = fillers === 0 ? "" : ` fill=${fillers}`;
    const filling = FILLER.repeat(Math.floor(fillingBytes / Buffer.byteLength(FILLER)));
    return `${faultWord} events=${EVENT_COUNT}${fill} ${filling}`;
}

/** @returns Id of the last whole event, if there is one. */
function getLastEventId(body: string): number | undefined {
    const wholeEvents = body.slice(0, body.lastIndexOf("\n\n") + 2);
    const id = [...wholeEvents.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
    return id === undefined ? undefined : Number(id);
}
