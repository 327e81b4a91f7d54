import type { ClientLimitCause } from "@heatherline/common";
import { getInvariantCounts } from "@heatherline/common";
import type { ExchangeRecord } from "@heatherline/serving";
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";

const DURATION_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.2, 2.5, 5, 10, 30, 60];

/** Functions that provide the values of gauges each time the metrics are read. */
export interface MetricSources {
    readonly getInFlight: () => number;
    readonly getWaiting: () => { service: string; workClass: string; count: number; }[];
    readonly getEndpoints: () => { endpoint: string; credits: number; limit: number; online: number; batch: number; }[];
    readonly getTraffic: () => { messagesSent: number; bytesSent: number; bytesReceived: number; };
    readonly getStoreCalls: () => Record<string, number>;
    readonly isLeaseHolder: () => boolean;
}

/** Prometheus metrics of one instance. */
export class DaemonMetrics {
    readonly registry = new Registry();
    private readonly requests: Counter;
    private readonly refusals: Counter;
    private readonly duration: Histogram;
    private readonly firstByte: Histogram;
    private readonly limitedClients: Counter;

    /**
     * @param sources - Functions that provide the values of the gauges.
     */
    constructor(sources: MetricSources) {
        const registers = [this.registry];
        collectDefaultMetrics({ register: this.registry });
        this.requests = new Counter({
            name: "heatherline_requests_total",
            help: "Requests by outcome",
            labelNames: ["service", "organisation", "class", "result"],
            registers,
        });
        this.refusals = new Counter({
            name: "heatherline_refusals_total",
            help: "Refusals by code and by whether the request certainly did not run",
            labelNames: ["service", "organisation", "code", "not_run"],
            registers,
        });
        this.duration = new Histogram({
            name: "heatherline_request_duration_seconds",
            help: "Time from request to complete response",
            labelNames: ["service", "organisation"],
            buckets: DURATION_BUCKETS_S,
            registers,
        });
        this.firstByte = new Histogram({
            name: "heatherline_first_byte_seconds",
            help: "Time from request to the first byte of the response",
            labelNames: ["service", "organisation"],
            buckets: DURATION_BUCKETS_S,
            registers,
        });
        this.limitedClients = new Counter({
            name: "heatherline_client_limits_total",
            help: "Callers refused or disconnected to bound memory and descriptors, by cause",
            labelNames: ["cause"],
            registers,
        });
        this.addGauges(sources);
    }

    /**
     * Records a caller that was refused or whose connection was closed, to bound memory and descriptors.
     *
     * @param cause - Why.
     */
    recordClientLimit(cause: ClientLimitCause): void {
        this.limitedClients.inc({ cause });
    }

    /**
     * Counts a finished exchange. Only online requests that an endpoint answered count in the latency histograms.
     *
     * @param exchange - The exchange and its outcome.
     */
    record(exchange: ExchangeRecord): void {
        const service = exchange.service ?? "";
        const organisation = exchange.organisation ?? "";
        const result = exchange.code ?? (exchange.status < 500 ? "answered" : "endpoint-error");
        this.requests.inc({ service, organisation, class: exchange.workClass, result });
        if (exchange.code !== undefined) {
            this.refusals.inc({ service, organisation, code: exchange.code, not_run: String(exchange.notRun) });
            return;
        }
        if (exchange.workClass === "online") {
            this.duration.observe({ service, organisation }, exchange.durationMs / 1_000);
            this.firstByte.observe({ service, organisation }, (exchange.firstByteMs ?? exchange.durationMs) / 1_000);
        }
    }

    private addGauges(sources: MetricSources): void {
        this.addGauge("heatherline_in_flight", "Requests in flight", [], gauge => gauge.set(sources.getInFlight()));
        this.addGauge(
            "heatherline_waiting",
            "Requests that are queued for an endpoint",
            ["service", "class"],
            gauge => {
                for (const { service, workClass, count } of sources.getWaiting()) {
                    gauge.set({ service, class: workClass }, count);
                }
            },
        );
        this.addGauge("heatherline_credits", "Credits that this instance holds", ["endpoint"], gauge => {
            for (const { endpoint, credits } of sources.getEndpoints()) {
                gauge.set({ endpoint }, credits);
            }
        });
        this.addGauge("heatherline_running", "Requests that are running", ["endpoint", "class"], gauge => {
            for (const { endpoint, online, batch } of sources.getEndpoints()) {
                gauge.set({ endpoint, class: "online" }, online);
                gauge.set({ endpoint, class: "batch" }, batch);
            }
        });
        this.addGauge("heatherline_peer_traffic", "Traffic between instances since the start", ["what"], gauge => {
            for (const [what, value] of Object.entries(sources.getTraffic())) {
                gauge.set({ what }, value);
            }
        });
        this.addGauge("heatherline_store_calls", "Calls to the platform's store since the start", ["kind"], gauge => {
            for (const [kind, value] of Object.entries(sources.getStoreCalls())) {
                gauge.set({ kind }, value);
            }
        });
        this.addGauge("heatherline_lease_held", "Whether this instance holds its data centre's lease", [], gauge => {
            gauge.set(sources.isLeaseHolder() ? 1 : 0);
        });
        this.addGauge("heatherline_invariant_checks", "Checks of invariants", ["invariant", "result"], gauge => {
            for (const { name, checked, violated } of getInvariantCounts()) {
                gauge.set({ invariant: name, result: "checked" }, checked);
                gauge.set({ invariant: name, result: "violated" }, violated);
            }
        });
    }

    private addGauge(name: string, help: string, labelNames: string[], collect: (gauge: Gauge) => void): void {
        new Gauge({
            name,
            help,
            labelNames,
            registers: [this.registry],
            collect() {
                this.reset();
                collect(this);
            },
        });
    }
}
