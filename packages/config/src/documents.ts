import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "must be lower-case letters, digits, dots and dashes");
const port = z.int().min(1).max(65_535);
const positive = z.number().positive();

const MAX_CONCURRENCY = 10_000;
const MAX_TIMEOUT_MS = 3_600_000;

const endpointSchema = z.strictObject({
    endpoint: name.describe("identity of the endpoint, unique in the document"),
    dataCentre: name,
    address: z.union([z.ipv4(), z.ipv6()]),
    port,
    maxConcurrency: z.int().min(1).max(MAX_CONCURRENCY).describe("requests it carries at once when warm"),
    coldConcurrency: z.int().min(1).max(MAX_CONCURRENCY).default(1).describe("requests it carries at once when cold"),
    warmUpMs: z.int().min(0).max(MAX_TIMEOUT_MS).default(10_000)
        .describe("how long it carries no more than its cold concurrency after its first answer, in milliseconds"),
    state: z.enum(["in", "leaving"]).default("in"),
    orders: z.enum(["none", "fenced", "unfenced"]).default("none")
        .describe("whether it takes orders, and whether it checks their fencing numbers"),
    role: name.optional().describe("role that it is ordered to take"),
});

const modelSchema = z.strictObject({
    model: name.describe("name that callers give"),
    versions: z.array(z.string().min(1)).min(1).describe("versions that may run, the preferred one first"),
});

const organisationSchema = z.strictObject({
    organisation: name,
    ratePerS: positive.describe("requests a second over the whole fleet"),
    burst: z.int().min(1).describe("requests at once over the whole fleet"),
    weight: positive.default(1).describe("share of the queue relative to other organisations"),
});

const routeSchema = z.strictObject({
    path: z.string().startsWith("/").describe("path, or prefix when it ends with /"),
    methods: z.array(z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"])).min(1).default(["POST"]),
    access: z.enum(["key", "open"]).default("key"),
    idempotent: z.boolean().default(true),
    timeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).default(30_000),
});

const objectiveSchema = z.strictObject({
    objective: z.enum(["availability", "first-byte", "duration"]),
    targetFraction: z.number().gt(0).lt(1).describe("fraction of requests that must be good"),
    thresholdMs: positive.optional().describe("latency that still counts as good, for latency objectives"),
    windowDays: z.int().min(1).max(90).default(28),
});

/** Schema of the one document that describes a service. */
export const serviceSchema = z.strictObject({
    kind: z.literal("service"),
    service: name,
    interface: z.enum(["openai", "plain"]),
    models: z.array(modelSchema).default([]),
    endpoints: z.array(endpointSchema).min(1),
    organisations: z.array(organisationSchema).default([]),
    routes: z.array(routeSchema).min(1),
    objectives: z.array(objectiveSchema).default([]),
    weightLoadsPerMinute: positive.default(6).describe("loads of weights a minute over the whole fleet"),
    keyListMaxAgeS: positive.default(86_400).describe("how long keys are trusted without news of withdrawals, seconds"),
}).superRefine((document, context) => {
    reportRepeats(document.endpoints.map(({ endpoint }) => endpoint), "endpoints", "endpoint", context);
    reportRepeats(
        document.organisations.map(({ organisation }) => organisation),
        "organisations",
        "organisation",
        context,
    );
    reportRepeats(document.models.map(({ model }) => model), "models", "model", context);
    reportRepeats(document.routes.map(({ path }) => path), "routes", "path", context);
    if (document.interface === "openai" && document.models.length === 0) {
        context.addIssue({ code: "custom", path: ["models"], message: "an openai service needs at least one model" });
    }
    for (const [index, endpoint] of document.endpoints.entries()) {
        if (endpoint.coldConcurrency > endpoint.maxConcurrency) {
            const path = ["endpoints", index, "coldConcurrency"];
            context.addIssue({ code: "custom", path, message: "must not exceed maxConcurrency" });
        }
    }
});

/** Schema of a caller's key; only the digest of its secret is kept. */
export const keySchema = z.strictObject({
    kind: z.literal("key"),
    keyId: z.string().regex(/^[0-9a-f]{8,64}$/),
    organisation: name,
    secretSha256: z.string().regex(/^[0-9a-f]{64}$/),
    state: z.enum(["active", "withdrawn"]),
});

/** Schema of a data centre's place in service. */
export const dataCentreSchema = z.strictObject({
    kind: z.literal("data-centre"),
    dataCentre: name,
    state: z.enum(["in", "out", "ended"]).describe(
        "ended: every instance there has ended, so its shares of rates may be used",
    ),
    generation: z.int().min(0).default(0).describe("must rise when a data centre comes back that had ended"),
});

/** Schema of an instance's place in service. */
export const instanceSchema = z.strictObject({
    kind: z.literal("instance"),
    instance: name,
    state: z.enum(["in", "out"]),
});

/** Schema of a request that is refused because it crashes endpoints. */
export const quarantineSchema = z.strictObject({
    kind: z.literal("quarantine"),
    fingerprint: z.string().regex(/^[0-9a-f]{64}$/),
    organisation: z.string(),
    state: z.enum(["active", "released"]),
});

/** Schema of any document that instances keep. */
export const documentSchema = z.discriminatedUnion("kind", [
    serviceSchema,
    keySchema,
    dataCentreSchema,
    instanceSchema,
    quarantineSchema,
]);

/** A service document. */
export type ServiceDocument = z.output<typeof serviceSchema>;
/** A key document. */
export type KeyDocument = z.output<typeof keySchema>;
/** An endpoint in a service document. */
export type EndpointSpec = ServiceDocument["endpoints"][number];
/** A route in a service document. */
export type RouteSpec = ServiceDocument["routes"][number];
/** An organisation's limits in a service document. */
export type OrganisationSpec = ServiceDocument["organisations"][number];
/** Any document. */
export type ConfigDocument = z.output<typeof documentSchema>;
/** The kinds of documents. */
export type DocumentKind = ConfigDocument["kind"];

/** Prefix of all documents in the store. */
export const CONFIG_PREFIX = "config/";

/**
 * @param kind - Kind of a document.
 * @param id - Its name.
 * @returns Its path in the store.
 */
export function getDocumentPath(kind: DocumentKind, id: string): string {
    return `${CONFIG_PREFIX}${kind}/${id}`;
}

/**
 * @param document - Any document.
 * @returns The name that identifies it within its kind.
 */
export function getDocumentId(document: ConfigDocument): string {
    switch (document.kind) {
        case "service":
            return document.service;
        case "key":
            return document.keyId;
        case "data-centre":
            return document.dataCentre;
        case "instance":
            return document.instance;
        case "quarantine":
            return document.fingerprint;
    }
}

function reportRepeats(names: string[], list: string, field: string, context: z.RefinementCtx): void {
    for (const [index, value] of names.entries()) {
        if (names.indexOf(value) !== index) {
            context.addIssue({ code: "custom", path: [list, index, field], message: `${value} is named twice` });
        }
    }
}
