import {
    Dispatcher,
    type EndpointEntry,
    getRateAlone,
    getSlotsAlone,
    getStartAfterTakeover,
    getStartAlone,
    type MemberEntry,
    type Place,
    type PlaceAsk,
    type PlaceEnd,
    type PlaceOutcome,
    RateBook,
    type RateTolerance,
} from "../../packages/fleet/src";
import { SLOTS } from "./pattern";

/** Time for a message between two instances, in milliseconds. */
const HOP_MS = 1;
/** Until another instance decides after whoever did has been killed, in milliseconds: the term of the lease. */
const TAKEOVER_MS = 1_800;
/** How often an instance hears how full the owners of endpoints are, in milliseconds. */
const CREDIT_INTERVAL_MS = 500;
const TOLERANCE: RateTolerance = { windowMs: 5_000, overPart: 0.1, extraRequests: 20 };

/** What happens around a way of placing. */
export interface Conditions {
    /** Requests a second that a cold endpoint takes; 0 while none is cold. */
    coldRatePerS: number;
    /** The data centre that is cut off from the others. */
    cutDataCentre: string | undefined;
    /** Instances that aren't there. */
    readonly dead: Set<string>;
}

/** What a way of placing is told. */
export interface WaySurroundings {
    readonly members: readonly MemberEntry[];
    readonly conditions: Conditions;
    /**
     * Asks for the place of a batch item back.
     *
     * @param placeId - The place.
     */
    callBack(placeId: string): void;
}

/** A way to divide endpoints among the instances. */
export interface PlacingWay {
    readonly name: string;
    /** Messages between instances so far. */
    readonly messageCount: number;
    /**
     * @param ask - A request of one instance.
     * @returns Its place, or a refusal.
     */
    place(ask: PlaceAsk): Promise<PlaceOutcome>;
    /**
     * @param placeId - A place that is given back.
     * @param end - How the request there ended.
     */
    release(placeId: string, end: PlaceEnd): void;
    /**
     * @param entries - The endpoints from now on.
     */
    setEndpoints(entries: readonly EndpointEntry[]): void;
    /** Kills whoever decides for others. */
    killDecider(): void;
    /** Looks again at who can be placed, after conditions have changed. */
    noteConditions(): void;
    /** Ends all waiting. */
    clear(): void;
}

/** Makes a way of placing. */
export type NewWay = (surroundings: WaySurroundings) => PlacingWay;

/** Each instance uses its own part of each endpoint and of each rate, and asks nobody. */
export class StaticParts implements PlacingWay {
    readonly name: string = "static parts";
    messageCount = 0;
    protected readonly alone: ReadonlyMap<string, Dispatcher>;
    /** Places that others gave, which count against an instance's own part. */
    protected readonly given = new Map<string, Place>();
    private readonly ratesAlone: ReadonlyMap<string, RateBook>;

    /**
     * @param surroundings - Instances and conditions.
     */
    constructor(protected readonly surroundings: WaySurroundings) {
        const { members } = surroundings;
        this.alone = new Map(members.map(member => [
            member.instanceId,
            this.newDispatcher(entry => this.getCapacityAlone(entry, member)),
        ]));
        this.ratesAlone = new Map(members.map(({ instanceId }, index) => [
            instanceId,
            new RateBook(
                bounds => getRateAlone(bounds, members.length),
                () => getStartAlone(members.length, index / members.length),
            ),
        ]));
    }

    place(ask: PlaceAsk): Promise<PlaceOutcome> {
        return this.placeAlone(ask);
    }

    release(placeId: string, end: PlaceEnd): void {
        for (const dispatcher of this.alone.values()) {
            dispatcher.release(placeId, end);
        }
    }

    setEndpoints(entries: readonly EndpointEntry[]): void {
        this.alone.forEach(dispatcher => dispatcher.setEndpoints(entries));
    }

    killDecider(): void {
        // Nobody decides for others here.
    }

    noteConditions(): void {
        this.alone.forEach(dispatcher => dispatcher.pumpAll());
    }

    clear(): void {
        this.alone.forEach(dispatcher => dispatcher.clear("over"));
    }

    protected async placeAlone(ask: PlaceAsk): Promise<PlaceOutcome> {
        const refusal = takeRate(this.ratesAlone.get(ask.instanceId) as RateBook, ask);
        return refusal ?? (this.alone.get(ask.instanceId) as Dispatcher).place(ask);
    }

    protected newDispatcher(getCapacity: (entry: EndpointEntry) => number): Dispatcher {
        return new Dispatcher({
            getCapacity,
            getColdRatePerS: entry => this.surroundings.conditions.coldRatePerS * getCapacity(entry) / SLOTS,
            getRegion: () => "",
            callBack: ({ placeId }) => this.surroundings.callBack(placeId),
        });
    }

    protected isCutOff(dataCentre: string, from: string): boolean {
        const { cutDataCentre } = this.surroundings.conditions;
        return dataCentre !== from && (dataCentre === cutDataCentre || from === cutDataCentre);
    }

    private getCapacityAlone(entry: EndpointEntry, { instanceId, dataCentre }: MemberEntry): number {
        if (this.isCutOff(entry.dataCentre, dataCentre)) {
            return 0;
        }
        const taken = [...this.given.values()]
            .filter(place => place.endpointId === entry.endpointId && place.instanceId === instanceId);
        return Math.max(0, getSlotsAlone(entry, instanceId, this.surroundings.members) - taken.length);
    }
}

/**
 * One queue, or one for each group of endpoints, kept by an instance; without it instances decide alone. Whoever keeps
 * the first queue counts rates for all.
 */
abstract class SharedQueue extends StaticParts {
    private readonly desks = new Map<string, { dispatcher: Dispatcher; isDown: boolean; }>();
    private rates = new RateBook(bounds => bounds, ({ burst }) => burst);
    private entries: readonly EndpointEntry[] = [];

    protected abstract readonly groups: readonly string[];

    /** Which queue an endpoint belongs to. */
    protected abstract getGroup(entry: EndpointEntry): string;

    /** Which queue a request goes to. */
    protected abstract chooseGroup(ask: PlaceAsk): string;

    /** The data centre in which a queue is kept. */
    protected abstract getHome(group: string): string;

    override async place(ask: PlaceAsk): Promise<PlaceOutcome> {
        const group = this.chooseGroup(ask);
        const desk = this.getDesk(group);
        if (desk.isDown || this.isCutOff(ask.dataCentre, this.getHome(group))) {
            return this.placeAlone(ask);
        }
        this.messageCount += 1;
        await sleep(HOP_MS);
        this.messageCount += ask.rate !== undefined && group !== this.groups[0] ? 1 : 0;
        const refusal = takeRate(this.rates, ask);
        if (refusal !== undefined) {
            return refusal;
        }
        const askedAtMs = performance.now();
        const outcome = await desk.dispatcher.place(ask);
        const spentMs = performance.now() - askedAtMs;
        if (outcome.kind === "refused" && outcome.reason === "unavailable") {
            const left = { ...ask, usefulForMs: ask.usefulForMs - spentMs, giveUpAfterMs: ask.giveUpAfterMs - spentMs };
            return this.placeAlone({ ...left, rate: undefined });
        }
        if (outcome.kind === "placed") {
            this.given.set(outcome.placeId, newPlace(ask, outcome));
        }
        return outcome;
    }

    override release(placeId: string, end: PlaceEnd): void {
        super.release(placeId, end);
        this.messageCount += this.given.has(placeId) ? 1 : 0;
        this.given.delete(placeId);
        this.desks.forEach(({ dispatcher }) => dispatcher.release(placeId, end));
    }

    override setEndpoints(entries: readonly EndpointEntry[]): void {
        super.setEndpoints(entries);
        this.entries = entries;
        for (const group of this.groups) {
            this.tellEndpoints(group);
        }
    }

    override killDecider(): void {
        const [group] = this.groups;
        if (group === undefined) {
            return;
        }
        const desk = this.getDesk(group);
        desk.isDown = true;
        desk.dispatcher.clear("killed");
        setTimeout(() => this.takeOver(group), TAKEOVER_MS);
    }

    override noteConditions(): void {
        super.noteConditions();
        this.desks.forEach(({ dispatcher }) => dispatcher.pumpAll());
    }

    override clear(): void {
        super.clear();
        this.desks.forEach(({ dispatcher }) => dispatcher.clear("over"));
    }

    /** Free places of a queue; none while nobody keeps it. */
    protected getFree(group: string): number {
        const { dispatcher, isDown } = this.getDesk(group);
        return isDown ? -Infinity : dispatcher.describe(SERVICE).free;
    }

    private takeOver(group: string): void {
        this.desks.delete(group);
        if (group === this.groups[0]) {
            this.rates = new RateBook(bounds => bounds, bounds => getStartAfterTakeover(bounds, TOLERANCE));
        }
        const { dispatcher } = this.getDesk(group);
        this.tellEndpoints(group);
        const ids = new Set(
            this.entries.filter(entry => this.getGroup(entry) === group).map(entry => entry.endpointId),
        );
        [...this.given.values()].filter(place => ids.has(place.endpointId)).forEach(place => dispatcher.adopt(place));
    }

    private tellEndpoints(group: string): void {
        const { dispatcher } = this.getDesk(group);
        dispatcher.setEndpoints(this.entries.filter(entry => this.getGroup(entry) === group));
    }

    private getDesk(group: string) {
        let desk = this.desks.get(group);
        if (desk === undefined) {
            desk = { dispatcher: this.newDispatcher(entry => this.getShared(group, entry)), isDown: false };
            this.desks.set(group, desk);
        }
        return desk;
    }

    /** What instances that can't be heard may use by themselves is kept back. */
    private getShared(group: string, entry: EndpointEntry): number {
        const { members, conditions } = this.surroundings;
        if (this.isCutOff(entry.dataCentre, this.getHome(group))) {
            return 0;
        }
        const silent = members.filter(({ instanceId, dataCentre }) =>
            conditions.dead.has(instanceId) || this.isCutOff(dataCentre, this.getHome(group))
        );
        return silent.reduce(
            (capacity, { instanceId }) => capacity - getSlotsAlone(entry, instanceId, members),
            entry.slots,
        );
    }
}

/** One coordinator queues for all instances: what the product does. */
export class OneQueue extends SharedQueue {
    override readonly name = "one queue";
    protected readonly groups = [ALL];

    protected getGroup(): string {
        return ALL;
    }

    protected chooseGroup(): string {
        return ALL;
    }

    protected getHome(): string {
        return this.surroundings.members[0]?.dataCentre ?? "";
    }
}

/** A coordinator in each data centre queues for its instances and its endpoints. */
export class QueuePerDataCentre extends SharedQueue {
    override readonly name = "a queue a data centre";

    protected get groups(): readonly string[] {
        return [...new Set(this.surroundings.members.map(({ dataCentre }) => dataCentre))];
    }

    protected getGroup({ dataCentre }: EndpointEntry): string {
        return dataCentre;
    }

    protected chooseGroup({ dataCentre }: PlaceAsk): string {
        return dataCentre;
    }

    protected getHome(group: string): string {
        return group;
    }
}

/** Each endpoint has an owner; instances choose one by what they last heard of how full it is, and queue there. */
export class OwnerCredits extends SharedQueue {
    override readonly name = "credits of owners";
    private readonly heard = new Map<string, { free: Map<string, number>; atMs: number; }>();
    private known: readonly EndpointEntry[] = [];

    protected get groups(): readonly string[] {
        return this.getEndpointIds();
    }

    protected getGroup({ endpointId }: EndpointEntry): string {
        return endpointId;
    }

    protected chooseGroup({ instanceId, dataCentre, excluded }: PlaceAsk): string {
        const free = this.getHeard(instanceId);
        const [best] = [...free.entries()]
            .filter(([endpointId]) =>
                !excluded.includes(endpointId) && !this.isCutOff(this.getHome(endpointId), dataCentre)
            )
            .sort((left, right) => right[1] - left[1]);
        if (best === undefined) {
            return this.groups[0] ?? "";
        }
        // What it sends there itself counts before it hears of it.
        free.set(best[0], best[1] - 1);
        return best[0];
    }

    protected getHome(group: string): string {
        return this.getDataCentre(group);
    }

    private getHeard(instanceId: string): Map<string, number> {
        const known = this.heard.get(instanceId);
        if (known !== undefined && performance.now() - known.atMs < CREDIT_INTERVAL_MS) {
            return known.free;
        }
        const owners = this.groups;
        this.messageCount += owners.length;
        const free = new Map(owners.map(group => [group, this.getFree(group)]));
        this.heard.set(instanceId, { free, atMs: performance.now() });
        return free;
    }

    override setEndpoints(entries: readonly EndpointEntry[]): void {
        this.known = entries;
        this.heard.clear();
        super.setEndpoints(entries);
    }

    private getEndpointIds(): string[] {
        return this.known.map(({ endpointId }) => endpointId);
    }

    private getDataCentre(endpointId: string): string {
        return this.known.find(entry => entry.endpointId === endpointId)?.dataCentre ?? "";
    }
}

/** The one service of replays. */
export const SERVICE = "model";
const ALL = "all";

/** All ways, the product's last. */
export const WAYS: readonly NewWay[] = [
    surroundings => new StaticParts(surroundings),
    surroundings => new OwnerCredits(surroundings),
    surroundings => new QueuePerDataCentre(surroundings),
    surroundings => new OneQueue(surroundings),
];

/** @returns A refusal where the organisation has no token left. */
function takeRate(rates: RateBook, { organisation, rate }: PlaceAsk): PlaceOutcome | undefined {
    const decision = rate === undefined ? undefined : rates.take(organisation, rate);
    return decision?.isTaken === false
        ? { kind: "refused", reason: "rate-limited", retryAfterMs: decision.retryAfterMs, detail: "" }
        : undefined;
}

function newPlace(ask: PlaceAsk, { placeId, endpointId }: Extract<PlaceOutcome, { kind: "placed"; }>): Place {
    const nowMs = performance.now();
    return {
        placeId,
        endpointId,
        instanceId: ask.instanceId,
        service: ask.service,
        workClass: ask.workClass,
        organisation: ask.organisation,
        sinceMs: nowMs,
        dueAtMs: nowMs + ask.dueInMs,
        finishAtMs: nowMs + ask.remainingMs,
        isCalledBack: false,
    };
}

function sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
