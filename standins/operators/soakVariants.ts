/** What a variant of the soak adds to plain engines, load and faults. */
export interface SoakTraits {
    /** Whether there are engines of a second software version. */
    readonly hasVersions?: boolean;
    /** Whether engines name limits now and then. */
    readonly namesLimits?: boolean;
    /** Whether callers take up streams that broke off. */
    readonly takesStreamsUp?: boolean;
    /** Whether gateways, the store and engines have no faults but those that the other traits add. */
    readonly hasNoCommonFaults?: boolean;
    /** Whether engines fall silent for about a second, one or all of them, also while gateways stop as planned. */
    readonly hasSilences?: boolean;
    /** Whether engines crash under one part of prompts. */
    readonly hasCrashingParts?: boolean;
    /** Whether engines send answers once more, late, in the place of the next answer on the connection. */
    readonly repeatsAnswers?: boolean;
    /** Whether configurations add, remove, move and nest routes. */
    readonly movesRoutes?: boolean;
    /** Whether gateways run today's build or that of another commit, side by side. */
    readonly mixesBuilds?: boolean;
    /** Whether services are moved to other software versions, good and bad ones. */
    readonly hasRollouts?: boolean;
    /** Whether gateways are cut off from the store, the coordinator or all other gateways. */
    readonly hasPartitions?: boolean;
    /** Whether configurations with other timeouts and routes are written. */
    readonly changesConfigs?: boolean;
    /** Whether some callers and all engines of the model service read slowly, and engines hold a limited number of tokens. */
    readonly hasSlowReaders?: boolean;
    /** Limit of a gateway's memory in megabytes in its settings, if it is not the usual one. */
    readonly memoryMb?: number;
    /** Limit of a gateway's heap in megabytes, if it is not that of Node.js. */
    readonly heapMb?: number;
    readonly load?: Partial<LoadTraits>;
}

/** Sizes and numbers of requests and jobs. */
export interface LoadTraits {
    /** Concurrent callers of online requests. */
    readonly callers: number;
    /** Whether all online requests are streams that engines serve without a fault. */
    readonly hasOnlySoundStreams: boolean;
    /** Pause of an engine after each event, in milliseconds. */
    readonly eventGapMs: number;
    /** Characters of three bytes in each event of online requests and of items. */
    readonly eventFillers: number;
    readonly itemEventFillers: number;
    readonly itemsPerJob: number;
    /** Largest size of the bodies of online requests, which are text of three bytes a character. */
    readonly bodyBytes: number;
    /** Size of the bodies of items, which are such text, too. */
    readonly itemBodyBytes: number;
    /** Largest body that the configuration allows. */
    readonly maxBodyBytes: number;
    /** Part of the callers of online requests that read their responses slowly. */
    readonly slowCallerPart: number;
    /** Whether some items fail or are refused more than once, yet less often than their route allows. */
    readonly hasRepeatedFailures: boolean;
    /** Every how many seconds several jobs come at once; never if 0. */
    readonly burstEveryS: number;
}

const COMMON_LOAD: LoadTraits = {
    callers: 6,
    hasOnlySoundStreams: false,
    eventGapMs: 10,
    eventFillers: 0,
    itemEventFillers: 0,
    itemsPerJob: 4,
    bodyBytes: 0,
    itemBodyBytes: 0,
    maxBodyBytes: 100_000,
    slowCallerPart: 0,
    hasRepeatedFailures: false,
    burstEveryS: 0,
};

/** Items, most of all, of which some fail more than once. */
const MANY_SMALL_JOBS = {
    callers: 3,
    eventGapMs: 5,
    hasRepeatedFailures: true,
    itemsPerJob: 3,
    burstEveryS: 0.2,
} as const satisfies Partial<LoadTraits>;

/**
 * - `plain`: engines of one software version.
 * - `versions-and-limits`: engines of two versions side by side, which name limits now and then, and callers that take up
 *   streams that broke off.
 * - `mixed-builds`: the same, and each gateway starts with the build of another commit; after it has ended, it starts with
 *   that one or today's.
 * - `long-texts`: texts of three bytes a character, and bodies and outputs up to a hundred kilobytes.
 * - `large-jobs`: bursts of jobs with bodies that are as large as the operators' configurations allow, on gateways with
 *   the heap that the deploy file gives them.
 * - `moving-routes`: routes that come, go and move, also below the prefix of the route of batch jobs.
 * - `crashing-parts`: one part of prompts after the other crashes each engine that begins to respond to it.
 * - `roll-outs`: one order after the other to move the model service to a good or a bad version. Online requests ask for no
 *   faults, so that a version is bad by what it does to requests that others serve.
 * - `roll-outs-and-failures`: the same, and more than half of the requests fail at all versions.
 * - `roll-outs-and-partitions`: as `roll-outs`, with partitions and changes of the configuration in place of other faults.
 * - `roll-outs-and-all-faults`: as `roll-outs`, with partitions and changes of the configuration beside the common faults.
 * - `slow-readers`: callers and engines that read slowly, long responses, and bodies of online requests and items that
 *   together are larger than the memory that gateways have for them; nothing else goes wrong.
 * - `repeated-answers`: engines that send answers of any status once more, in the place of the next answer on the connection;
 *   many items, some of which fail more than once; nothing else goes wrong but what requests ask for.
 * - `repeated-answers-and-faults`: the same beside the common faults.
 * - `silences`: engines that fall silent for a second or so beside gateways that stop as planned; nothing unplanned.
 */
const TRAITS = {
    plain: {},
    "versions-and-limits": { hasVersions: true, namesLimits: true, takesStreamsUp: true },
    "mixed-builds": { hasVersions: true, namesLimits: true, takesStreamsUp: true, mixesBuilds: true },
    "long-texts": {
        load: { eventFillers: 200, itemEventFillers: 2_500, itemsPerJob: 24, bodyBytes: 90_000, itemBodyBytes: 2_000 },
    },
    "large-jobs": {
        heapMb: 120,
        load: { itemsPerJob: 10, itemBodyBytes: 300_000, maxBodyBytes: 4_194_304, burstEveryS: 6 },
    },
    "moving-routes": { movesRoutes: true },
    "crashing-parts": { hasCrashingParts: true },
    "roll-outs": { hasRollouts: true, load: { callers: 12, hasOnlySoundStreams: true } },
    "roll-outs-and-failures": { hasRollouts: true, load: { callers: 12 } },
    "roll-outs-and-partitions": {
        hasRollouts: true,
        hasNoCommonFaults: true,
        hasPartitions: true,
        changesConfigs: true,
        load: { callers: 12, hasOnlySoundStreams: true },
    },
    "roll-outs-and-all-faults": {
        hasRollouts: true,
        hasPartitions: true,
        changesConfigs: true,
        load: { callers: 12, hasOnlySoundStreams: true },
    },
    "slow-readers": {
        hasNoCommonFaults: true,
        hasSlowReaders: true,
        heapMb: 120,
        memoryMb: 210,
        load: {
            callers: 24,
            hasOnlySoundStreams: true,
            eventFillers: 30_000,
            itemsPerJob: 6,
            bodyBytes: 1_500_000,
            itemBodyBytes: 400_000,
            maxBodyBytes: 4_194_304,
            slowCallerPart: 0.3,
            burstEveryS: 4,
        },
    },
    "repeated-answers": {
        hasNoCommonFaults: true,
        repeatsAnswers: true,
        load: MANY_SMALL_JOBS,
    },
    "repeated-answers-and-faults": {
        repeatsAnswers: true,
        load: MANY_SMALL_JOBS,
    },
    silences: {
        hasNoCommonFaults: true,
        hasSilences: true,
        load: { callers: 16, hasOnlySoundStreams: true, eventGapMs: 80 },
    },
} as const satisfies Record<string, SoakTraits>;

/** Name of a variant. */
export type SoakVariant = keyof typeof TRAITS;

/** All variants. */
export const SOAK_VARIANTS = Object.keys(TRAITS) as readonly SoakVariant[];

/** @returns Whether a text names a variant. */
export function isSoakVariant(text: string): text is SoakVariant {
    return SOAK_VARIANTS.some(variant => variant === text);
}

/**
 * @param variant - A variant.
 * @returns What it adds.
 */
export function getTraits(variant: SoakVariant): SoakTraits {
    return TRAITS[variant];
}

/**
 * @param traits - What a variant adds.
 * @returns Its sizes and numbers.
 */
export function getLoadTraits({ load }: SoakTraits): LoadTraits {
    return { ...COMMON_LOAD, ...load };
}
