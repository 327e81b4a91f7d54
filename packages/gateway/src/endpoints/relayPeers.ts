import type { MemberEntry } from "@heatherline/fleet";

/** Time for which an instance that couldn't relay is not asked again. */
const EXCLUSION_MS = 1_500;
/** Time for which an instance that has relayed a request counts as able to. */
const PROVEN_MS = 5_000;
/** With fewer proven instances than this, others are tried now and then, so that the load spreads. */
const MIN_PROVEN = 3;
const EXPLORATION_SHARE = 0.25;

/** What {@link RelayPeers} depends on. */
export interface RelayPeersDependencies {
    readonly self: MemberEntry;
    readonly getMembers: () => readonly MemberEntry[];
    /** @returns The region of a data centre. */
    readonly getRegion: (dataCentre: string) => string;
}

/** Chooses the instances through which a stranded instance sends its requests. */
export class RelayPeers {
    private readonly excludedUntilMs = new Map<string, number>();
    private readonly provenAtMs = new Map<string, number>();

    /**
     * @param deps - What it depends on.
     */
    constructor(private readonly deps: RelayPeersDependencies) {}

    /**
     * Chooses at random among instances that have relayed lately, otherwise among those that may be able to; instances of
     * the own data centre come first. Only instances in the endpoint's region are asked, where the request may be processed.
     *
     * @param endpointDataCentre - Data centre of the endpoint.
     * @param triedIds - Instances that have already been asked for the same request.
     * @returns An instance to ask, or `undefined` if there is none.
     */
    pick(endpointDataCentre: string, triedIds: ReadonlySet<string>): MemberEntry | undefined {
        const { self, getMembers, getRegion } = this.deps;
        const nowMs = performance.now();
        const region = getRegion(endpointDataCentre);
        const usable = getMembers().filter(({ instanceId, dataCentre }) =>
            instanceId !== self.instanceId && !triedIds.has(instanceId) && getRegion(dataCentre) === region
            && nowMs >= (this.excludedUntilMs.get(instanceId) ?? 0)
        );
        const proven = usable.filter(({ instanceId }) =>
            nowMs - (this.provenAtMs.get(instanceId) ?? -Infinity) < PROVEN_MS
        );
        const others = usable.filter(member => !proven.includes(member));
        const mayExplore = proven.length < MIN_PROVEN && Math.random() < EXPLORATION_SHARE;
        const [first, second] = mayExplore ? [others, proven] : [proven, others];
        return this.pickNearest(first) ?? this.pickNearest(second);
    }

    /**
     * @param instanceId - An instance that has relayed a request.
     */
    recordSuccess(instanceId: string): void {
        this.provenAtMs.set(instanceId, performance.now());
    }

    /**
     * @param instanceId - An instance that couldn't relay a request.
     */
    recordFailure(instanceId: string): void {
        this.provenAtMs.delete(instanceId);
        this.excludedUntilMs.set(instanceId, performance.now() + EXCLUSION_MS);
    }

    private pickNearest(members: readonly MemberEntry[]): MemberEntry | undefined {
        const local = members.filter(({ dataCentre }) => dataCentre === this.deps.self.dataCentre);
        const candidates = local.length > 0 ? local : members;
        return candidates[Math.floor(Math.random() * candidates.length)];
    }
}
