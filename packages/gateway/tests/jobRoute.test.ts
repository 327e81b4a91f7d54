import { newLogger } from "@heatherline/common";
import { type PlaceRequest, type Route, RouteTable, type RoutingConfig } from "@heatherline/fleet";
import { MemoryStore } from "@heatherline/store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { JobRun } from "../src/jobs/jobRun";
import { JobRunner, type JobRunnerDependencies } from "../src/jobs/jobRunner";
import { type JobManifest, JobStore } from "../src/jobs/jobStore";

const HOST = "api";
const RETENTION_MS = 90_000;
/** Longer than a route may be missing before its items are given up, and shorter than the retention time. */
const PATIENCE_MS = 10_000;
/** More than an item that pauses is checked within the patience. */
const MAX_CHECKS = 200;
const JOBS: Partial<Route> = { name: "jobs", pathPrefix: "/jobs/", targets: [{ service: "digests", weight: 1 }] };
const STREAMS: Partial<Route> = {
    name: "streams",
    pathPrefix: "/jobs/3/",
    kind: "streaming",
    retentionMs: 0,
    targets: [{ service: "streams", weight: 1 }],
};
const MANIFEST: JobManifest = {
    jobId: "job",
    organisation: "",
    route: "jobs",
    submittedAt: 0,
    itemTokens: [1],
    state: "open",
    host: HOST,
    path: "/jobs/7",
    items: [{ itemId: "item", path: "/jobs/3/9", headers: {}, tokens: 1 }],
    bodyParts: 1,
    isEndedByCaller: false,
};
/** As written by releases whose jobs don't name the path that they were submitted to. */
const { path: unusedPath, ...OLD_MANIFEST } = MANIFEST;

let requestedServices: string[];
let configAgeMs: number;
let checks: number;
let maxChecks: number;

beforeEach(() => {
    vi.useFakeTimers();
    requestedServices = [];
    configAgeMs = 0;
    checks = 0;
    maxChecks = MAX_CHECKS;
});
afterEach(() => vi.useRealTimers());

function newRoutes(routes: readonly Partial<Route>[]): RouteTable {
    const defaults = { host: HOST, kind: "batch", maxAttempts: 3, retentionMs: RETENTION_MS, allowedRegions: [] };
    const config = { version: 1, routes: routes.map(route => ({ ...defaults, ...route })), services: [] };
    return new RouteTable(config as unknown as RoutingConfig);
}

/** Runs a job whose place requests are all refused. */
async function run(manifest: JobManifest, routes: RouteTable | undefined): Promise<JobRun> {
    const runner = newRunner(routes);
    runner.add({ ...manifest, submittedAt: Date.now() }, [{ item: "" }]);
    const jobRun = runner.getReadableRun("job") as JobRun;
    await vi.advanceTimersByTimeAsync(PATIENCE_MS);
    jobRun.stop("the test is over");
    return jobRun;
}

/** @returns A runner whose place requests for the service `lost` are never answered, and all others refused. */
function newRunner(routes: RouteTable | undefined): JobRunner {
    return new JobRunner({
        store: new JobStore(new MemoryStore(), newLogger("test", "fatal")),
        logger: newLogger("test", "fatal"),
        placement: {
            requestPlace: async ({ service }: PlaceRequest) => {
                requestedServices.push(service);
                if (service === "lost") {
                    await new Promise(() => undefined);
                }
                return { kind: "refused", reason: "overloaded" };
            },
        },
        view: { routes, getConfigAgeMs: () => configAgeMs },
        // Otherwise the test wouldn't end where items are checked again without a pause.
        isJobStateFresh: () => {
            checks += 1;
            return checks < maxChecks;
        },
    } as unknown as JobRunnerDependencies);
}

// Guards against items that are given up before their time, as another route's prefix begins their own paths.
describe("MIXED, items given up early beside a new route: an item of a batch job", () => {
    it.each([
        { what: "a route that its own path selects was added", manifest: MANIFEST, routes: [JOBS, STREAMS] },
        {
            what: "a batch route that its own path selects was added",
            manifest: MANIFEST,
            routes: [JOBS, { ...STREAMS, kind: "batch" as const }],
        },
        {
            what: "the submission's path selects another route now",
            manifest: MANIFEST,
            routes: [JOBS, { ...STREAMS, pathPrefix: "/jobs/7" }],
        },
        { what: "its own path selects no route", manifest: MANIFEST, routes: [{ ...JOBS, pathPrefix: "/jobs/7" }] },
        {
            what: "its job's route has another prefix now",
            manifest: MANIFEST,
            routes: [{ ...JOBS, pathPrefix: "/other/" }, STREAMS],
        },
        {
            what: "its job's route has another name now",
            manifest: MANIFEST,
            routes: [{ ...JOBS, name: "renamed" }, STREAMS],
        },
        { what: "its job was submitted to an earlier release", manifest: OLD_MANIFEST, routes: [JOBS, STREAMS] },
        {
            what: "its job was submitted to an earlier release, and the route has another name now",
            manifest: OLD_MANIFEST,
            routes: [{ ...JOBS, name: "renamed" }],
        },
    ])("runs by its job's route when $what", async ({ manifest, routes }) => {
        const jobRun = await run(manifest, newRoutes(routes));
        expect(jobRun.publishedCount).toBe(0);
        expect(new Set(requestedServices)).toEqual(new Set(["digests"]));
    });

    it("runs at the service that its job's route names now", async () => {
        const jobRun = await run(
            MANIFEST,
            newRoutes([{ ...JOBS, targets: [{ service: "other", weight: 1 }] }, STREAMS]),
        );
        expect(jobRun.publishedCount).toBe(0);
        expect(new Set(requestedServices)).toEqual(new Set(["other"]));
    });

    it.each([
        { what: "has been removed", routes: [STREAMS], ageMs: 0, published: 1 },
        {
            what: "is for other requests now",
            routes: [{ ...STREAMS, name: "jobs", pathPrefix: "/jobs/" }],
            ageMs: 0,
            published: 1,
        },
        { what: "is missing from an old configuration", routes: [STREAMS], ageMs: 60_000, published: 0 },
        { what: "isn't known yet, as no configuration is", routes: undefined, ageMs: Infinity, published: 0 },
    ])(
        "is given up only if its job's route certainly doesn't exist: it $what",
        async ({ routes, ageMs, published }) => {
            configAgeMs = ageMs;
            const jobRun = await run(MANIFEST, routes === undefined ? undefined : newRoutes(routes));
            expect(jobRun.publishedCount).toBe(published);
            expect(requestedServices).toEqual([]);
        },
    );

    it("runs although hundreds of items of another route, whose service has no endpoints, came before", async () => {
        const other: Partial<Route> = {
            ...JOBS,
            name: "stuck",
            pathPrefix: "/stuck/",
            targets: [{ service: "lost", weight: 1 }],
        };
        const runner = newRunner(newRoutes([JOBS, other]));
        maxChecks = Infinity;
        const ids = Array.from({ length: 200 }, (_, index) => `item-${index}`);
        for (const jobId of ["stuck-1", "stuck-2"]) {
            const items = ids.map(itemId => ({ itemId, path: "/stuck/1", headers: {}, tokens: 1 }));
            const manifest = {
                ...MANIFEST,
                jobId,
                route: "stuck",
                path: "/stuck/1",
                items,
                itemTokens: ids.map(() => 1),
            };
            runner.add({ ...manifest, submittedAt: Date.now() }, [Object.fromEntries(ids.map(id => [id, ""]))]);
        }
        runner.add({ ...MANIFEST, submittedAt: Date.now() }, [{ item: "" }]);
        await vi.advanceTimersByTimeAsync(PATIENCE_MS);
        runner.getActiveJobIds().forEach(jobId => runner.cancel(jobId));
        expect(new Set(requestedServices)).toEqual(new Set(["digests", "lost"]));
    });

    // Fails if items are checked again without a pause, which would hang the process.
    it("waits while all services of its job's route have the weight 0", async () => {
        const jobRun = await run(MANIFEST, newRoutes([{ ...JOBS, targets: [{ service: "digests", weight: 0 }] }]));
        expect(jobRun.publishedCount).toBe(0);
        expect(requestedServices).toEqual([]);
        expect(checks).toBeLessThan(MAX_CHECKS);
    });
});
