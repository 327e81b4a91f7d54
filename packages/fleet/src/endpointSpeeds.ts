import { copyFlat } from "./copyFlat";
import type { PlaceRelease, PlaceRequest } from "./types";

/** Time constant with which evidence ages, so that an endpoint that was slow is tried again; in milliseconds. */
const EVIDENCE_AGE_MS = 10_000;
/** Time constant with which the usual time of the service's responses ages, in milliseconds. */
const BASELINE_AGE_MS = 20_000;
/** Responses over which the usual time per event is averaged. */
const BASELINE_RESPONSES = 200;
/** Responses that the service's mean counts for in each estimate. */
const PRIOR_RESPONSES = 1;
/** An estimate is used where it differs from the service's mean by more than this many standard errors. */
const ERROR_MARGIN = 2;
/** Least difference that counts, as a logarithm: endpoints of equal speed differ by as much through load. */
const MIN_LOG_DIFFERENCE = 0.1;
/** Smallest standard deviation of the logarithm of one response's time that is assumed. */
const MIN_DEVIATION = 0.2;
/** Responses after which an endpoint counts as known. */
const MIN_RESPONSES = 2;
/** A service needs this many known endpoints. */
const MIN_KNOWN_ENDPOINTS = 3;
/** Interval at which the estimates are determined again, in milliseconds. */
const REFRESH_INTERVAL_MS = 100;
/** Fewest events between which a time per event can be told. */
const MIN_EVENTS = 4;
/** Bounds of one response's time relative to the usual, as a logarithm: one odd response says little. */
const MAX_LOG_RATIO = 2.3;

/** Figures of a response. */
export interface SpeedEvidence extends Partial<Pick<PlaceRelease, "firstAnswerMs" | "events" | "durationMs">> {
    readonly promptTokens?: number | undefined;
}

/** Mean, variance and amount of evidence that ages. */
class AgingMean {
    private sum = 0;
    private squares = 0;
    private count = 0;
    private atMs = performance.now();

    add(value: number, nowMs: number, ageMs: number): void {
        this.age(nowMs, ageMs);
        this.sum += value;
        this.squares += value * value;
        this.count += 1;
    }

    age(nowMs: number, ageMs: number): void {
        const factor = Math.exp((this.atMs - nowMs) / ageMs);
        this.atMs = nowMs;
        this.sum *= factor;
        this.squares *= factor;
        this.count *= factor;
    }

    get responses(): number {
        return this.count;
    }

    /** Mean with the service's mean, 0, as further evidence. */
    get shrunkMean(): number {
        return this.sum / (this.count + PRIOR_RESPONSES);
    }

    get standardError(): number {
        const mean = this.sum / this.count;
        const deviation = Math.max(MIN_DEVIATION, Math.sqrt(Math.max(0, this.squares / this.count - mean * mean)));
        return deviation / Math.sqrt(this.count + PRIOR_RESPONSES);
    }
}

/** Usual time of a service's responses to the first part, as a linear function of the prompt's tokens. */
class FirstPartBaseline {
    private weight = 0;
    private meanTokens = 0;
    private meanMs = 0;
    private tokenVariance = 0;
    private covariance = 0;
    private atMs = performance.now();

    add(promptTokens: number, firstMs: number, nowMs: number): void {
        this.weight *= Math.exp((this.atMs - nowMs) / BASELINE_AGE_MS);
        this.atMs = nowMs;
        this.weight += 1;
        const part = 1 / this.weight;
        const tokenChange = promptTokens - this.meanTokens;
        const change = firstMs - this.meanMs;
        this.meanTokens += part * tokenChange;
        this.meanMs += part * change;
        this.tokenVariance += part * ((1 - part) * tokenChange * tokenChange - this.tokenVariance);
        this.covariance += part * ((1 - part) * tokenChange * change - this.covariance);
    }

    getExpectedMs(promptTokens: number): number {
        const slope = this.tokenVariance > 0 ? Math.max(0, this.covariance / this.tokenVariance) : 0;
        const floorMs = this.meanMs / 10;
        return Math.max(floorMs, this.meanMs + slope * (promptTokens - this.meanTokens));
    }
}

/** What is known of one endpoint's speed. */
export class EndpointSpeed {
    /**
     * @param first - Time to the first part of a response, relative to the service's usual, as logarithms.
     * @param event - Time per event, relative to the service's usual, as logarithms.
     */
    constructor(readonly first = new AgingMean(), readonly event = new AgingMean()) {}

    /**
     * Factor on the service's mean time that is expected of the endpoint; 1 without enough evidence. Less than 1 for
     * faster endpoints.
     */
    slowness = 1;

    /** @returns A copy, which can be refreshed without effect on this one. */
    copy(): EndpointSpeed {
        const copy = new EndpointSpeed(copyFlat(this.first), copyFlat(this.event));
        copy.slowness = this.slowness;
        return copy;
    }
}

/** Speeds of the endpoints of one service, relative to each other, from the responses to real requests. */
export class EndpointSpeeds {
    private readonly firstBaseline = new FirstPartBaseline();
    private eventBaselineMs: number | undefined;
    private refreshedAtMs = performance.now();

    /**
     * Records a response.
     *
     * @param speed - Speed of its endpoint.
     * @param evidence - Figures of the response.
     */
    record(speed: EndpointSpeed, { promptTokens = 0, firstAnswerMs, events = 0, durationMs }: SpeedEvidence): void {
        const nowMs = performance.now();
        const firstMs = firstAnswerMs !== undefined && firstAnswerMs > 0 ? firstAnswerMs : undefined;
        if (firstMs !== undefined) {
            this.firstBaseline.add(promptTokens, firstMs, nowMs);
            const expectedMs = this.firstBaseline.getExpectedMs(promptTokens);
            speed.first.add(toLogRatio(firstMs, expectedMs), nowMs, EVIDENCE_AGE_MS);
        }
        const eventMs = durationMs === undefined || events < MIN_EVENTS
            ? 0
            : (durationMs - (firstMs ?? 0)) / (firstMs === undefined ? events : events - 1);
        if (eventMs > 0) {
            this.eventBaselineMs ??= eventMs;
            this.eventBaselineMs *= Math.exp(toLogRatio(eventMs, this.eventBaselineMs) / BASELINE_RESPONSES);
            speed.event.add(toLogRatio(eventMs, this.eventBaselineMs), nowMs, EVIDENCE_AGE_MS);
        }
    }

    /**
     * Determines the estimates again, if the last time is long enough ago.
     *
     * @param speeds - Speeds of all endpoints of the service.
     */
    refresh(speeds: readonly { readonly speed: EndpointSpeed; }[]): void {
        const nowMs = performance.now();
        if (nowMs - this.refreshedAtMs < REFRESH_INTERVAL_MS) {
            return;
        }
        this.refreshedAtMs = nowMs;
        let known = 0;
        let firstSum = 0;
        let eventSum = 0;
        for (const { speed } of speeds) {
            speed.first.age(nowMs, EVIDENCE_AGE_MS);
            speed.event.age(nowMs, EVIDENCE_AGE_MS);
            if (isKnown(speed)) {
                known += 1;
                firstSum += speed.first.shrunkMean;
                eventSum += speed.event.shrunkMean;
            }
        }
        const isEnabled = known >= MIN_KNOWN_ENDPOINTS;
        for (const { speed } of speeds) {
            speed.slowness = isEnabled && isKnown(speed)
                ? estimateSlowness(speed, firstSum / known, eventSum / known)
                : 1;
        }
    }
}

function isKnown({ first, event }: EndpointSpeed): boolean {
    return Math.max(first.responses, event.responses) >= MIN_RESPONSES;
}

/** Combines both figures by their certainty; a difference from the mean that may be chance doesn't count. */
function estimateSlowness({ first, event }: EndpointSpeed, firstCentre: number, eventCentre: number): number {
    const firstWeight = first.responses >= MIN_RESPONSES ? 1 / first.standardError ** 2 : 0;
    const eventWeight = event.responses >= MIN_RESPONSES ? 1 / event.standardError ** 2 : 0;
    const weight = firstWeight + eventWeight;
    const mean = (firstWeight * (first.shrunkMean - firstCentre) + eventWeight * (event.shrunkMean - eventCentre)) /
        weight;
    const margin = Math.max(MIN_LOG_DIFFERENCE, ERROR_MARGIN / Math.sqrt(weight));
    return Math.abs(mean) <= margin ? 1 : Math.exp(mean);
}

function toLogRatio(timeMs: number, usualMs: number): number {
    return Math.min(MAX_LOG_RATIO, Math.max(-MAX_LOG_RATIO, Math.log(timeMs / usualMs)));
}

/** Speeds of the endpoints of all services. */
export class ServiceSpeeds {
    private readonly byService = new Map<string, EndpointSpeeds>();
    private readonly tightestTargetsMs = new Map<string, number>();

    /**
     * @param service - Service of the endpoint.
     * @param speed - Speed of the endpoint.
     * @param evidence - Figures of a response.
     */
    record(service: string, speed: EndpointSpeed, evidence: SpeedEvidence): void {
        let speeds = this.byService.get(service);
        if (speeds === undefined) {
            speeds = new EndpointSpeeds();
            this.byService.set(service, speeds);
        }
        speeds.record(speed, evidence);
    }

    /**
     * @param service - A service.
     * @param states - Its endpoints.
     */
    refresh(service: string, states: readonly { readonly speed: EndpointSpeed; }[] = []): void {
        this.byService.get(service)?.refresh(states);
    }

    /**
     * @param request - A request.
     * @returns Latency objective of the most urgent online requests of its service, this one among them.
     */
    getTightestTargetMs({ service, workClass, targetLatencyMs }: PlaceRequest): number {
        const tightestMs = this.tightestTargetsMs.get(service) ?? Infinity;
        if (workClass === "batch" || targetLatencyMs >= tightestMs) {
            return tightestMs;
        }
        this.tightestTargetsMs.set(service, targetLatencyMs);
        return targetLatencyMs;
    }

    /**
     * @param service - A service.
     * @returns A copy with what is known of the service, without effect on the original when it is used.
     */
    copy(service: string): ServiceSpeeds {
        const copy = new ServiceSpeeds();
        const speeds = this.byService.get(service);
        if (speeds !== undefined) {
            copy.byService.set(service, copyFlat(speeds));
        }
        const tightestMs = this.tightestTargetsMs.get(service);
        if (tightestMs !== undefined) {
            copy.tightestTargetsMs.set(service, tightestMs);
        }
        return copy;
    }
}
