import { type ClientLimitCause, type ConnectionEvent, getDroppedLineCount } from "@heatherline/common";
import type { QueueStats, RolloutRecord } from "@heatherline/fleet";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { CutBy } from "./callers/cutObserver";
import type { BodyKind, HeldBodies } from "./heldBodies";
import type { SlowCallerCause } from "./memoryBudget";
import type { HedgeEvent } from "./online/hedgedSend";

const DURATION_BUCKETS_MS = [5, 10, 25, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000, 15_000];
/** Negative errors: the wait was shorter than forecast. */
const FORECAST_ERROR_BUCKETS_MS = [-500, -200, -100, -50, -20, -5, 5, 20, 50, 100, 200, 500];

const BODY_KINDS: readonly BodyKind[] = ["online", "item"];

type HeldBodyFigures = Pick<HeldBodies, "getBytes" | "getRefusals">;

/** Values that are read each time the metrics are collected. */
export interface MetricSources {
    /** @returns Waiting requests and free places by service; empty unless this instance is the coordinator. */
    readonly getQueueStats: () => (QueueStats & { service: string; })[];
    readonly getConfigAgeMs: () => number;
    readonly getStoreCalls: () => Readonly<Record<string, number>>;
    readonly getJobs: () => { open: number; oldestAgeMs: number; };
    /** @returns Roll-outs; empty unless this instance is the coordinator. */
    readonly getRollouts?: () => readonly Pick<RolloutRecord, "service" | "share" | "exposedRequests">[];
    readonly isCoordinator: () => boolean;
    /** @returns Whether this instance reaches no endpoint itself. */
    readonly isStranded: () => boolean;
    /** @returns Requests of other instances that are being relayed. */
    readonly getOpenRelayCount: () => number;
    /** @returns Bytes of responses that callers are yet to read. */
    readonly getCallerBufferBytes: () => number;
    /** Bodies of requests and batch items in progress; absent where they are not counted. */
    readonly bodies?: HeldBodyFigures | undefined;
}

/** The metrics of one instance. */
export class GatewayMetrics {
    private readonly registry = new Registry();
    private readonly requests: Counter;
    private readonly durations: Histogram;
    private readonly waits: Histogram;
    private readonly forecastErrors: Histogram;
    private readonly items: Counter;
    private readonly relayedRequests: Counter;
    private readonly connections: Counter;
    private readonly cutRequests: Counter;
    private readonly slowCallers: Counter;
    private readonly limitedClients: Counter;
    private readonly hedges: Counter;
    private readonly refusedHedges: Counter;

    /**
     * @param sources - Values that are read each time the metrics are collected.
     */
    constructor(sources: MetricSources) {
        const registers = [this.registry];
        this.requests = new Counter({
            name: "heatherline_requests_total",
            help: "Requests by route kind, outcome and reason",
            labelNames: ["kind", "outcome", "reason"],
            registers,
        });
        this.durations = new Histogram({
            name: "heatherline_request_duration_ms",
            help: "Time from the request to the complete response",
            labelNames: ["kind", "outcome"],
            buckets: DURATION_BUCKETS_MS,
            registers,
        });
        this.waits = new Histogram({
            name: "heatherline_place_wait_ms",
            help: "Time that online requests waited for a place at an endpoint",
            buckets: DURATION_BUCKETS_MS,
            registers,
        });
        this.forecastErrors = new Histogram({
            name: "heatherline_wait_forecast_error_ms",
            help: "Wait of online requests for a place minus the forecast wait",
            buckets: FORECAST_ERROR_BUCKETS_MS,
            registers,
        });
        this.items = new Counter({
            name: "heatherline_batch_runs_total",
            help: "Runs of batch items by outcome",
            labelNames: ["end"],
            registers,
        });
        this.relayedRequests = new Counter({
            name: "heatherline_relayed_requests_total",
            help: "Requests that this instance sent through another one, by what came of it",
            labelNames: ["outcome"],
            registers,
        });
        this.connections = new Counter({
            name: "heatherline_endpoint_connections_total",
            help: "Kept connections to endpoints: reused, opened, opened because of a repeated request id, used up",
            labelNames: ["event"],
            registers,
        });
        this.cutRequests = new Counter({
            name: "heatherline_requests_cut_total",
            help: "Requests that were read and whose connection closed before the response was complete",
            labelNames: ["by"],
            registers,
        });
        this.slowCallers = new Counter({
            name: "heatherline_slow_callers_closed_total",
            help: "Callers that were disconnected because they read too slowly, by cause",
            labelNames: ["cause"],
            registers,
        });
        this.limitedClients = new Counter({
            name: "heatherline_client_limits_total",
            help: "Clients refused or disconnected to bound memory and descriptors, by listener and cause",
            labelNames: ["listener", "cause"],
            registers,
        });
        this.hedges = new Counter({
            name: "heatherline_hedges_total",
            help: "Second attempts at slow requests: sent, and whether they won, were cancelled or failed",
            labelNames: ["what"],
            registers,
        });
        this.refusedHedges = new Counter({
            name: "heatherline_hedges_refused_total",
            help: "Second attempts at slow requests that were not granted, by cause",
            labelNames: ["cause"],
            registers,
        });
        this.addGauges(sources);
    }

    /**
     * Records a finished request.
     *
     * @param kind - Kind of the route.
     * @param outcome - How the request ended.
     * @param reason - Why, for outcomes that have reasons; otherwise empty.
     * @param durationMs - Time from the request to the response.
     */
    recordRequest(kind: string, outcome: string, reason: string, durationMs: number): void {
        this.requests.inc({ kind, outcome, reason });
        this.durations.observe({ kind, outcome }, durationMs);
    }

    /**
     * Records how long an online request waited for its place.
     *
     * @param waitedMs - The wait.
     * @param expectedMs - The forecast wait.
     */
    recordPlacementWait(waitedMs: number, expectedMs: number): void {
        this.waits.observe(waitedMs);
        this.forecastErrors.observe(waitedMs - expectedMs);
    }

    /**
     * Records a run of a batch item.
     *
     * @param end - How the run ended.
     */
    recordItemRun(end: string): void {
        this.items.inc({ end });
    }

    /**
     * Records a request that this instance sent through another one.
     *
     * @param outcome - What came of it.
     */
    recordRelayedRequest(outcome: string): void {
        this.relayedRequests.inc({ outcome });
    }

    /**
     * Records what happens to a connection to an endpoint.
     *
     * @param event - What happens.
     */
    recordConnection(event: ConnectionEvent): void {
        this.connections.inc({ event });
    }

    /**
     * Records a request whose connection closed before the response was complete.
     *
     * @param cutBy - Who closed it.
     */
    recordCut(cutBy: CutBy): void {
        this.cutRequests.inc({ by: cutBy });
    }

    /**
     * Records a caller that was disconnected because it reads too slowly.
     *
     * @param cause - Why.
     */
    recordSlowCaller(cause: SlowCallerCause): void {
        this.slowCallers.inc({ cause });
    }

    /**
     * Records a client that was refused or whose connection was closed, to bound memory and descriptors.
     *
     * @param listener - Listener that it was connected to.
     * @param cause - Why.
     */
    recordClientLimit(listener: string, cause: ClientLimitCause): void {
        this.limitedClients.inc({ listener, cause });
    }

    /**
     * Records what came of a second attempt at a slow request.
     *
     * @param what - What came of it.
     * @param cause - Why it was refused.
     */
    recordHedge(what: HedgeEvent, cause = ""): void {
        if (what === "refused") {
            this.refusedHedges.inc({ cause });
        }
        else {
            this.hedges.inc({ what });
        }
    }

    /** @returns All metrics in the Prometheus text format. */
    render(): Promise<string> {
        return this.registry.metrics();
    }

    private addGauges(sources: MetricSources): void {
        const registers = [this.registry];
        const queue = new Gauge({
            name: "heatherline_line",
            help: "Waiting requests and free places by service, at the coordinator",
            labelNames: ["service", "what"],
            registers,
            collect: () => {
                queue.reset();
                for (const { service, online, batch, free } of sources.getQueueStats()) {
                    queue.set({ service, what: "online-waiting" }, online);
                    queue.set({ service, what: "batch-waiting" }, batch);
                    queue.set({ service, what: "free" }, free);
                }
            },
        });
        const addShareGauge = (
            name: string,
            help: string,
            read: (stats: QueueStats) => { readonly over: number; readonly within: number; },
        ) => {
            const gauge: Gauge = new Gauge({
                name,
                help,
                labelNames: ["service", "share"],
                registers,
                collect: () => {
                    gauge.reset();
                    for (const { service, ...stats } of sources.getQueueStats()) {
                        const { over, within } = read(stats);
                        gauge.set({ service, share: "over" }, over);
                        gauge.set({ service, share: "within" }, within);
                    }
                },
            });
        };
        addShareGauge(
            "heatherline_fair_share_waiting",
            "Waiting online requests by whether their organisation is over its share, at the coordinator",
            ({ shares }) => ({ over: shares.waitingOver, within: shares.waitingWithin }),
        );
        addShareGauge(
            "heatherline_fair_share_refused",
            "Online requests refused for lack of a place since this coordinator began, by whether their organisation was over its share",
            ({ shares }) => ({ over: shares.refusedOver, within: shares.refusedWithin }),
        );
        const slownessGauge = new Gauge({
            name: "heatherline_endpoint_slowness",
            help: "Expected factor on the service's mean time by endpoint, at the coordinator",
            labelNames: ["service", "endpoint"],
            registers,
            collect: () => {
                slownessGauge.reset();
                for (const { service, slowness } of sources.getQueueStats()) {
                    slowness.forEach((factor, endpoint) => slownessGauge.set({ service, endpoint }, factor));
                }
            },
        });
        const storeCalls = new Gauge({
            name: "heatherline_store_calls",
            help: "Calls to the platform's store since the process started",
            labelNames: ["kind"],
            registers,
            collect: () => {
                for (const [kind, count] of Object.entries(sources.getStoreCalls())) {
                    storeCalls.set({ kind }, count);
                }
            },
        });
        const addRolloutGauge = (name: string, help: string, field: "share" | "exposedRequests") => {
            const gauge: Gauge = new Gauge({
                name,
                help,
                labelNames: ["service"],
                registers,
                collect: () => {
                    gauge.reset();
                    sources.getRollouts?.().forEach(record => gauge.set({ service: record.service }, record[field]));
                },
            });
        };
        addRolloutGauge(
            "heatherline_rollout_share",
            "Fraction of new requests that go to the new software version, at the coordinator",
            "share",
        );
        addRolloutGauge(
            "heatherline_rollout_exposed_requests",
            "Upper bound of the requests that the new software version has been sent, at the coordinator",
            "exposedRequests",
        );
        const addGauge = (name: string, help: string, read: () => number) => {
            const gauge: Gauge = new Gauge({ name, help, registers, collect: () => gauge.set(read()) });
        };
        addGauge("heatherline_config_age_ms", "Age of the configuration", sources.getConfigAgeMs);
        addGauge("heatherline_jobs_open", "Batch jobs that run here", () => sources.getJobs().open);
        addGauge(
            "heatherline_jobs_oldest_ms",
            "Age of the oldest job that runs here",
            () => sources.getJobs().oldestAgeMs,
        );
        addGauge(
            "heatherline_is_coordinator",
            "1 if this instance is the coordinator, otherwise 0",
            () => sources.isCoordinator() ? 1 : 0,
        );
        addGauge(
            "heatherline_is_stranded",
            "1 if this instance reaches no endpoint itself, otherwise 0",
            () => sources.isStranded() ? 1 : 0,
        );
        addGauge("heatherline_open_relays", "Requests relayed for other instances now", sources.getOpenRelayCount);
        addGauge(
            "heatherline_caller_buffer_bytes",
            "Bytes of responses that callers are yet to read",
            sources.getCallerBufferBytes,
        );
        if (sources.bodies !== undefined) {
            this.addBodyGauges(sources.bodies);
        }
        addGauge("heatherline_log_lines_dropped", "Log lines dropped", getDroppedLineCount);
        addGauge("process_resident_memory_bytes", "Resident memory of the process", () => process.memoryUsage.rss());
    }

    private addBodyGauges(bodies: HeldBodyFigures): void {
        const addGauge = (name: string, help: string, read: (kind: BodyKind) => number) => {
            const gauge: Gauge = new Gauge({
                name,
                help,
                labelNames: ["kind"],
                registers: [this.registry],
                collect: () => BODY_KINDS.forEach(kind => gauge.set({ kind }, read(kind))),
            });
        };
        addGauge(
            "heatherline_held_body_bytes",
            "Bytes of the bodies of online requests and batch items in progress",
            kind => bodies.getBytes(kind),
        );
        addGauge(
            "heatherline_bodies_without_room",
            "Online requests refused, and batch items kept waiting, because memory had no room for their bodies",
            kind => bodies.getRefusals(kind),
        );
    }
}
