import { type ResponseEnd, sleep } from "@heatherline/common";
import {
    getServices,
    getSoftwareVersion,
    type HeldPlace,
    pickService,
    type PlacementClient,
    type RefusalReason,
    type Route,
} from "@heatherline/fleet";
import { discardBody, readChunks } from "../endpoints/bodyReader";
import { type EndpointResponse, type EndpointSender, isNotSent } from "../endpoints/endpointClient";
import type { MemoryBudget } from "../memoryBudget";
import { EventStreamParser, hasContent } from "../online/eventStreamParser";
import { releasePlace } from "../online/placeRelease";
import { StreamContinuation } from "../online/streamContinuation";
import type { ItemResult, WireCodec } from "../wireCodec";
import { ItemBody, type LoadedContent } from "./itemBody";
import type { ItemDurationEstimator } from "./itemDurationEstimator";
import type { ItemPlacementQueue } from "./itemPlacementQueue";
import { newItemPlaceOptions } from "./itemPlaceOptions";
import { ItemProgress } from "./itemProgress";
import { getItemFigures, type RunEnd, toErrorEnd, toRequestEnd } from "./itemRunEnd";
import type { ItemContent } from "./jobBodies";
import type { JobItem } from "./jobStore";

/**
 * Added to the retention time, because wall clocks differ between instances and may be set: an item is given up too late
 * rather than too early.
 */
const CLOCK_SKEW_MARGIN_MS = 3_000;
/** Delay after a run that did not complete the item; doubles with each further one that produced nothing. */
const RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_600;
/** Delay before checking again whether the item can run. */
const NOT_RUNNABLE_DELAY_MS = 250;
/** An item is given up when its route has been missing from the configuration for this long. */
const ROUTE_REMOVAL_GRACE_MS = 3_000;
/** An endpoint of the version that began an item may only have crashed; it then registers again within seconds. */
const VERSION_GONE_PATIENCE_MS = 2_500;
/** Longer waits for an endpoint of the version that began an item cost more than beginning again. */
const VERSION_BUSY_PATIENCE_MS = 8_000;
/** Deadline that an endpoint is given for one run. */
const MAX_RUN_MS = 60_000;
/** An endpoint that still sends this long after the deadline is faulty. */
const MAX_OVERRUN_MS = 5_000;
/**
 * Without any data for this long, the endpoint is considered unavailable and the run is aborted. The time doubles with
 * each run in a row that was aborted before it produced anything, since endpoints may take long for the item.
 */
const SILENCE_TIMEOUT_MS = 2_500;
const MAX_SILENCE_DOUBLINGS = 2;
/** Whole answers without an event that show that an item has no output; a faulty endpoint may send one. */
const MIN_EMPTY_ANSWERS = 3;
/** How runs end that this side aborts. */
const ABORT_ENDS = ["called-back", "stopped", "silent", "too-long", "memory-short"] as const;

/** What the runs of an item depend on. */
export interface ItemRunDependencies {
    readonly placement: PlacementClient;
    readonly endpoints: EndpointSender;
    readonly wire: WireCodec;
    readonly durationEstimator: ItemDurationEstimator;
    readonly placementQueue: ItemPlacementQueue;
    /**
     * @returns The route of the item's job in the current configuration, `undefined` if it has none any more, or `unknown`
     * while that can't be told.
     */
    readonly findRoute: () => Route | "unknown" | undefined;
    /** @returns What an endpoint is sent for the item, or `undefined` if it can't be read now. */
    readonly getContent: () => Promise<ItemContent | undefined>;
    /** Bounds the bodies of items in memory; absent where they are not counted. */
    readonly memoryBudget?: MemoryBudget | undefined;
    /** Called when the item begins to wait for memory, with the size of its body if that is known. */
    readonly onMemoryShort?: (item: JobItem, bodyBytes: number | undefined) => void;
    /** Whether new runs may start. */
    readonly mayRun: () => boolean;
    /** Called after each run with how it ended and details for the log. */
    readonly onRunEnded: (item: JobItem, end: string, detail: Record<string, unknown>) => void;
}

/** The job that an item belongs to. */
export interface ItemJob {
    readonly jobId: string;
    readonly organisation: string;
    readonly host: string;
    /** Milliseconds since the epoch. */
    readonly submittedAt: number;
}

/**
 * Runs one batch item until it has a result. A run that is preempted or breaks is resumed, at the same or another
 * endpoint, after the last event received.
 */
export class ItemRun {
    /** Since when the item has been waiting for an endpoint that can go on with it. */
    private waitingSinceMs: number | undefined;
    /** Consecutive runs that broke before they produced anything. */
    private emptyRuns = 0;
    /** Whole answers without an event, if no answer had one. */
    private emptyAnswers = 0;
    /** Runs that were aborted since nothing arrived, since the last one that produced something. */
    private silentRuns = 0;
    /** Events of the latest run. */
    private runEventCount = 0;
    /** How the response of the latest run ended, for the log. */
    private lastResponseEnd: ResponseEnd | undefined;
    /** Why the latest run got no response, for the log. */
    private lastFailure: string | undefined;
    private routeLastSeenAtMs = performance.now();
    /** Services whose endpoints hold fewer tokens than the item has. */
    private readonly tooSmallServices = new Set<string>();
    private readonly body: ItemBody;

    /**
     * @param job - The item's job.
     * @param item - The item.
     * @param deps - What the runs depend on.
     * @param signal - Aborted when this instance is to stop running the item.
     * @param progress - What has been received of its output so far, also by another instance.
     */
    constructor(
        private readonly job: ItemJob,
        private readonly item: JobItem,
        private readonly deps: ItemRunDependencies,
        private readonly signal: AbortSignal,
        private readonly progress = new ItemProgress(),
    ) {
        this.body = new ItemBody({
            getContent: deps.getContent,
            bodies: deps.memoryBudget?.bodies,
            onMemoryShort: sizeBytes => deps.onMemoryShort?.(item, sizeBytes),
        });
    }

    /** @returns The result, or `undefined` if this instance is to stop running the item. */
    async run(): Promise<ItemResult | undefined> {
        try {
            return await this.runUntilDone();
        }
        finally {
            this.body.end();
            this.progress.release();
        }
    }

    private async runUntilDone(): Promise<ItemResult | undefined> {
        while (!this.signal.aborted) {
            const found = this.deps.findRoute();
            const isRouteMissing = found === undefined;
            const route = found === "unknown" ? undefined : found;
            if (!isRouteMissing) {
                this.routeLastSeenAtMs = performance.now();
            }
            if (route !== undefined && Date.now() > this.job.submittedAt + route.retentionMs + CLOCK_SKEW_MARGIN_MS) {
                return this.newDeadResult();
            }
            if (route === undefined || !this.mayRun()) {
                if (isRouteMissing && performance.now() - this.routeLastSeenAtMs > ROUTE_REMOVAL_GRACE_MS) {
                    return this.newDeadResult();
                }
                await sleep(NOT_RUNNABLE_DELAY_MS, this.signal);
                continue;
            }
            const end = await this.runOnce(route).finally(() => this.body.release());
            if (end === "complete") {
                return { itemId: this.item.itemId, state: "completed", output: this.progress.output };
            }
            if (end === "cannot-be-done") {
                return this.newDeadResult();
            }
            this.progress.failures += end === "failed" ? 1 : 0;
            if (this.progress.failures >= route.maxAttempts) {
                return this.newDeadResult();
            }
            if (end !== "called-back" && end !== "stopped") {
                await sleep(Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_MS * 2 ** this.emptyRuns), this.signal);
            }
        }
        return undefined;
    }

    private mayRun(): boolean {
        return this.deps.mayRun() && this.progress.mayRun;
    }

    private newDeadResult(): ItemResult {
        return { itemId: this.item.itemId, state: "dead", output: "" };
    }

    private async runOnce(route: Route): Promise<RunEnd> {
        const { lastEventId, origin } = this.progress;
        const isUnresumable = this.progress.eventCount > 0 && lastEventId === undefined;
        if (isUnresumable || (origin !== undefined && !getServices(route).includes(origin.service))) {
            this.startAnew();
        }
        const targets = route.targets.filter(target => !this.tooSmallServices.has(target.service));
        const service = this.progress.origin?.service ?? pickService({ ...route, targets }, Math.random());
        if (service === undefined) {
            await sleep(NOT_RUNNABLE_DELAY_MS, this.signal);
            return "stopped";
        }
        const remainingMs = this.deps.durationEstimator.getRemainingMs(this.progress.eventCount);
        const timing = { dueInMs: this.getDueInMs(route), remainingMs };
        // The content is read only now, so that few are in memory.
        const request = await this.deps.placementQueue.add(service, timing, async () => {
            const content = await this.body.load();
            return content === undefined
                ? undefined
                : { content, outcome: await this.requestPlace(route, service, remainingMs) };
        });
        if (request === undefined) {
            await sleep(NOT_RUNNABLE_DELAY_MS, this.signal);
            return "stopped";
        }
        const { content, outcome } = request;
        if (outcome.kind === "refused" && outcome.reason === "too-many-tokens") {
            this.tooSmallServices.add(service);
            if (getServices(route).every(name => this.tooSmallServices.has(name))) {
                return "cannot-be-done";
            }
        }
        if (outcome.kind === "refused") {
            this.body.release();
            this.startAnewIfHopeless(outcome.reason);
            await sleep(NOT_RUNNABLE_DELAY_MS, this.signal);
            return "stopped";
        }
        const { place } = outcome;
        this.waitingSinceMs = undefined;
        if (!this.mayRun()) {
            place.release("lost");
            return "stopped";
        }
        const previousEventCount = this.progress.eventCount;
        const startedAtMs = performance.now();
        const end = await this.runAtPlace(place, content);
        if (end === "too-long") {
            this.startAnew();
        }
        const eventCount = this.runEventCount;
        const placeEnd = {
            end: toRequestEnd(end, eventCount),
            wasSilent: end === "silent",
            figures: {
                ...getItemFigures(end, previousEventCount, performance.now() - startedAtMs),
                events: eventCount,
            },
        };
        await releasePlace(place, placeEnd, this.deps.endpoints);
        const isEmpty = end === "no-path" || end === "too-long" || (end === "broken" && eventCount === 0);
        this.emptyRuns = isEmpty ? this.emptyRuns + 1 : 0;
        this.silentRuns = eventCount > 0 ? 0 : this.silentRuns + Number(end === "silent");
        if (end !== "too-long" && end !== "memory-short") {
            this.deps.durationEstimator.recordRun(eventCount, performance.now() - startedAtMs);
        }
        if (end === "complete") {
            this.deps.durationEstimator.recordFinished(this.progress.eventCount);
        }
        this.deps.onRunEnded(this.item, end, {
            endpoint: place.endpoint.endpointId,
            softwareVersion: place.endpoint.softwareVersion,
            givenBy: place.givenBy,
            resumedAfter: previousEventCount,
            events: eventCount,
            ...this.lastResponseEnd,
            failure: this.lastFailure,
            durationMs: Math.round(performance.now() - startedAtMs),
        });
        return end;
    }

    private requestPlace(
        route: Route,
        service: string,
        remainingMs: number,
    ): ReturnType<PlacementClient["requestPlace"]> {
        return this.deps.placement.requestPlace({
            ...newItemPlaceOptions(route, service, {
                organisation: this.job.organisation,
                remainingMs,
                dueInMs: this.getDueInMs(route),
                tokens: this.item.tokens,
            }),
            fingerprint: `${this.job.jobId}/${this.item.itemId}`,
            softwareVersion: this.progress.origin?.softwareVersion,
            signal: this.signal,
        });
    }

    /** What another version has begun can't be gone on with; an item is owed, so that it begins again. */
    private startAnew(): void {
        this.progress.startAnew();
        this.waitingSinceMs = undefined;
    }

    private startAnewIfHopeless(reason: RefusalReason): void {
        if (this.progress.origin === undefined) {
            return;
        }
        this.waitingSinceMs ??= performance.now();
        const patienceMs = reason === "version-gone" ? VERSION_GONE_PATIENCE_MS : VERSION_BUSY_PATIENCE_MS;
        if (performance.now() - this.waitingSinceMs > patienceMs) {
            this.startAnew();
        }
    }

    private getSilenceTimeoutMs(): number {
        return SILENCE_TIMEOUT_MS * 2 ** Math.min(MAX_SILENCE_DOUBLINGS, this.silentRuns);
    }

    private getDueInMs(route: Route): number {
        return this.job.submittedAt + route.completionTargetMs - Date.now();
    }

    private async runAtPlace(place: HeldPlace, content: LoadedContent): Promise<RunEnd> {
        const { wire, endpoints } = this.deps;
        const { body } = content;
        this.lastResponseEnd = undefined;
        this.lastFailure = undefined;
        this.runEventCount = 0;
        const abortController = new AbortController();
        const onPreempted = () => abortController.abort("called-back");
        const onStopped = () => abortController.abort("stopped");
        place.preemptSignal.addEventListener("abort", onPreempted, { once: true });
        this.signal.addEventListener("abort", onStopped, { once: true });
        this.progress.onDropped = () => abortController.abort("memory-short");
        const silenceTimer = setTimeout(() => abortController.abort("silent"), this.getSilenceTimeoutMs());
        const runTimer = setTimeout(() => abortController.abort("too-long"), MAX_RUN_MS + MAX_OVERRUN_MS);
        const headers = wire.toEndpointHeaders(
            wire.toItemHeaders(this.job.host, this.item.itemId, content.headers),
            {
                endpointId: place.endpoint.endpointId,
                organisation: this.job.organisation,
                timeLeftMs: MAX_RUN_MS,
                lastEventId: this.progress.lastEventId,
                bodyBytes: body.length,
            },
        );
        try {
            const result = await endpoints.send({
                requestId: this.item.itemId,
                endpoint: place.endpoint,
                method: "POST",
                path: content.path,
                headers,
                renewHeaders: () => this.deps.mayRun() ? headers : undefined,
                body,
                mayReuseConnection: true,
                signal: abortController.signal,
            });
            if (result.isErr()) {
                const { kind, reason } = result.error;
                this.lastFailure = reason;
                return this.toAbortEnd(abortController.signal)
                    ?? (kind === "unsendable" ? "no-path" : isNotSent(kind) ? kind : "broken");
            }
            const { status, head, incoming } = result.value;
            if (status !== 200 || !head.isSigned) {
                discardBody(incoming);
                return toErrorEnd(status, head.isNotExecuted);
            }
            const end = await this.readEvents(result.value, place, silenceTimer);
            const abortEnd = this.toAbortEnd(abortController.signal);
            return end === "broken" || abortEnd === "memory-short" ? abortEnd ?? end : end;
        }
        finally {
            clearTimeout(silenceTimer);
            clearTimeout(runTimer);
            this.progress.onDropped = undefined;
            place.preemptSignal.removeEventListener("abort", onPreempted);
            this.signal.removeEventListener("abort", onStopped);
        }
    }

    private toAbortEnd({ reason }: AbortSignal): RunEnd | undefined {
        return ABORT_ENDS.find(end => end === reason);
    }

    /**
     * Keeps complete events only, so that a resumed run continues exactly after the last one.
     *
     * @returns How the run ended; `broken` also if this side has aborted it.
     */
    private async readEvents(
        response: EndpointResponse,
        { endpoint }: HeldPlace,
        silenceTimer: NodeJS.Timeout,
    ): Promise<"complete" | "broken" | "too-long"> {
        const { progress } = this;
        const { incoming, endObserver } = response;
        const parser = new EventStreamParser();
        const continuation = new StreamContinuation(progress.lastEventId, true);
        if (continuation.findHeadFault(response) !== undefined) {
            incoming.destroy();
            return "broken";
        }
        const origin = { service: endpoint.service, softwareVersion: getSoftwareVersion(endpoint) };
        try {
            for await (const chunk of readChunks(incoming)) {
                for (const event of parser.parse(chunk)) {
                    if (continuation.findFault(event) !== undefined) {
                        return "broken";
                    }
                    if (!hasContent(event)) {
                        continue;
                    }
                    if (event.eventId === undefined || event.eventId > (progress.lastEventId ?? -1)) {
                        silenceTimer.refresh();
                        this.runEventCount += 1;
                        const outcome = progress.add(event, origin);
                        if (outcome !== "kept") {
                            return outcome === "too-long" ? outcome : "broken";
                        }
                    }
                }
            }
        }
        catch {
            // The caller checks whether this side aborted the run; otherwise the connection broke.
            return "broken";
        }
        finally {
            parser.close();
            this.lastResponseEnd = endObserver.responseEnd;
        }
        const isWhole = endObserver.isComplete && !parser.isInsideEvent
            && continuation.findEndFault(response) === undefined;
        if (!isWhole || (progress.eventCount === 0 && !this.hasNoOutput(endObserver.responseEnd))) {
            return "broken";
        }
        // From now on the output is not given up for others.
        progress.release();
        return "complete";
    }

    /** Whether a whole answer without an event shows that the item has no output. */
    private hasNoOutput({ framing }: ResponseEnd): boolean {
        // An answer that ends with its connection may have been cut off.
        this.emptyAnswers += framing === "connection" ? 0 : 1;
        return this.emptyAnswers >= MIN_EMPTY_ANSWERS;
    }
}
