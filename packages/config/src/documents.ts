import { z } from "zod";

const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    "must be lower-case letters, digits, dots and dashes",
);
const portSchema = z.int().min(1).max(65_535);
const positiveNumber = z.number().positive();

const MAX_CONCURRENCY = 10_000;
const MAX_TIMEOUT_MS = 3_600_000;

const endpointSchema = z.strictObject({
    endpoint: nameSchema.describe("name of the endpoint, unique in the document"),
    dataCentre: nameSchema,
    address: z.union([z.ipv4(), z.ipv6()]),
    port: portSchema,
    maxConcurrency: z.int().min(1).max(MAX_CONCURRENCY).describe("maximum number of concurrent requests when warm"),
    coldConcurrency: z.int().min(1).max(MAX_CONCURRENCY).default(1).describe(
        "maximum number of concurrent requests when cold",
    ),
    warmUpMs: z.int().min(0).max(MAX_TIMEOUT_MS).default(10_000)
        .describe("time after its first response for which the cold concurrency applies, in milliseconds"),
    state: z.enum(["in", "leaving"]).default("in"),
    orders: z.enum(["none", "fenced", "unfenced"]).default("none")
        .describe("whether it accepts orders, and whether it checks their fencing tokens"),
    role: nameSchema.optional().describe("role that it is ordered to assume"),
});

const modelSchema = z.strictObject({
    model: nameSchema.describe("name of the model in requests"),
    versions: z.array(z.string().min(1)).min(1).describe("versions that may be served, the preferred one first"),
});

const organisationSchema = z.strictObject({
    organisation: nameSchema,
    ratePerS: positiveNumber.describe("requests per second over the whole fleet"),
    burst: z.int().min(1).describe("maximum burst of requests over the whole fleet"),
    weight: positiveNumber.default(1).describe("weight in the fair queue, relative to other organisations"),
});

const routeSchema = z.strictObject({
    path: z.string().startsWith("/").describe("path, or path prefix when it ends with /"),
    methods: z.array(z.enum(["GET", "POST", "PUT", "PATCH", "DELETE"])).min(1).default(["POST"]),
    access: z.enum(["key", "open"]).default("key"),
    idempotent: z.boolean().default(true),
    timeoutMs: z.int().min(1).max(MAX_TIMEOUT_MS).default(30_000),
});

const objectiveSchema = z.strictObject({
    objective: z.enum(["availability", "first-byte", "duration"]),
    targetFraction: z.number().gt(0).lt(1).describe("fraction of requests that must meet the objective"),
    thresholdMs: positiveNumber.optional().describe(
        "maximum latency of a request that meets the objective, for latency objectives",
    ),
    windowDays: z.int().min(1).max(90).default(28),
});

/** Schema of the document that describes a service. */
export const serviceSchema = z.strictObject({
    kind: z.literal("service"),
    service: nameSchema,
    interface: z.enum(["openai", "plain"]),
    models: z.array(modelSchema).default([]),
    endpoints: z.array(endpointSchema).min(1),
    organisations: z.array(organisationSchema).default([]),
    routes: z.array(routeSchema).min(1),
    objectives: z.array(objectiveSchema).default([]),
    weightLoadsPerMinute: positiveNumber.default(6).describe("loads of model weights per minute over the whole fleet"),
    keyListMaxAgeS: positiveNumber.default(86_400).describe(
        "how long keys are accepted without updates about withdrawn keys, in seconds",
    ),
}).superRefine((document, context) => {
    reportDuplicates(document.endpoints.map(({ endpoint }) => endpoint), "endpoints", "endpoint", context);
    reportDuplicates(
        document.organisations.map(({ organisation }) => organisation),
        "organisations",
        "organisation",
        context,
    );
    reportDuplicates(document.models.map(({ model }) => model), "models", "model", context);
    reportDuplicates(document.routes.map(({ path }) => path), "routes", "path", context);
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

/** Schema of a caller's API key; only the digest of its secret is stored. */
export const keySchema = z.strictObject({
    kind: z.literal("key"),
    keyId: z.string().regex(/^[0-9a-f]{8,64}$/),
    organisation: nameSchema,
    secretSha256: z.string().regex(/^[0-9a-f]{64}$/),
    state: z.enum(["active", "withdrawn"]),
});

/** Schema of the document that says whether a data centre is in service. */
export const dataCentreSchema = z.strictObject({
    kind: z.literal("data-centre"),
    dataCentre: nameSchema,
    state: z.enum(["in", "out", "ended"]).describe(
        "ended: every instance there has ended, so other data centres may use its shares of rate limits",
    ),
    generation: z.int().min(0).default(0).describe(
        "must increase when a data centre that had ended returns to service",
    ),
});

/** Schema of the document that says whether an instance is in service. */
export const instanceSchema = z.strictObject({
    kind: z.literal("instance"),
    instance: nameSchema,
    state: z.enum(["in", "out"]),
});

/** Schema of the document that quarantines a request: it is rejected because it crashes endpoints. */
export const quarantineSchema = z.strictObject({
    kind: z.literal("quarantine"),
    fingerprint: z.string().regex(/^[0-9a-f]{64}$/),
    organisation: z.string(),
    state: z.enum(["active", "released"]),
});

/** Schema of any configuration document. */
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
/** Any configuration document. */
export type ConfigDocument = z.output<typeof documentSchema>;
/** The kinds of documents. */
export type DocumentKind = ConfigDocument["kind"];

/** Prefix of all documents in the store. */
export const CONFIG_PREFIX = "config/";

/**
 * @param kind - Kind of the document.
 * @param id - Identity of the document within its kind.
 * @returns Its path in the store.
 */
export function getDocumentPath(kind: DocumentKind, id: string): string {
    return `${CONFIG_PREFIX}${kind}/${id}`;
}

/**
 * @param document - Any document.
 * @returns Its identity within its kind.
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

function reportDuplicates(names: string[], list: string, field: string, context: z.RefinementCtx): void {
    for (const [index, value] of names.entries()) {
        if (names.indexOf(value) !== index) {
            context.addIssue({ code: "custom", path: [list, index, field], message: `${value} is listed twice` });
        }
    }
}
