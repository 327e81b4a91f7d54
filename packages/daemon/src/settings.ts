import { LOG_LEVELS, type SettingSpecs, type SettingValues } from "@heatherline/common";
import { randomBytes } from "node:crypto";
import { z } from "zod";

const RANDOM_NAME_BYTES = 4;
const MAX_PORT = 65_535;
const MAX_BODY_BYTES = 67_108_864;

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "must be lower-case letters, digits, dots and dashes");
const ipAddress = z.union([z.ipv4(), z.ipv6()], "must be an IP address");

function integer(min: number, max: number, fallback: number) {
    return z.string().regex(/^\d+$/, "must be a whole number").default(String(fallback))
        .transform(Number).pipe(z.int().min(min).max(max));
}

const peerAddress = z.string().regex(/^[0-9a-f.:[\]]+:\d+$/i, "must be IP:PORT, several separated by commas");

/** Settings of the daemon; docs/SETTINGS.md is generated from them. */
export const daemonSettings = {
    instance: {
        schema: name.default(() => `instance-${randomBytes(RANDOM_NAME_BYTES).toString("hex")}`),
        description: "name of this instance, unique in the fleet; random when not given",
        unit: "",
    },
    dataCentre: { schema: name.default("local"), description: "data centre of this instance", unit: "" },
    listenAddress: { schema: ipAddress.default("127.0.0.1"), description: "IP address to listen on", unit: "" },
    port: {
        schema: integer(0, MAX_PORT, 8_080),
        description: "port for callers and operators; 0 for any",
        unit: "port",
    },
    peerPort: { schema: integer(0, MAX_PORT, 8_081), description: "port for other instances; 0 for any", unit: "port" },
    advertiseAddress: {
        schema: ipAddress.optional(),
        description: "IP address that other instances reach this one by; the listen address when not given",
        unit: "",
    },
    storeUrl: {
        schema: z.url({ protocol: /^https?$/, error: "must be an http URL" }).optional(),
        description: "the platform's object API; a store in memory when not given",
        unit: "",
    },
    peers: {
        schema: z.string().default("").transform(text => text.split(",").filter(part => part !== ""))
            .pipe(z.array(peerAddress)),
        description: "addresses of other instances, for when the platform's list can't be read",
        unit: "IP:PORT",
    },
    peerSecret: {
        schema: z.string().min(1).default("heatherline"),
        description: "secret shared by all instances of the fleet",
        unit: "",
    },
    operatorToken: {
        schema: z.string().min(8).optional(),
        description: "token that operators present; without it only this machine may use the operators' routes",
        unit: "",
    },
    dataDir: {
        schema: z.string().min(1).optional(),
        description: "folder for the last accepted configuration, where the instance has a disk",
        unit: "",
    },
    documents: {
        schema: z.string().default("").transform(text => text.split(",").filter(part => part !== "")),
        description: "files with documents to apply at start, for a daemon with a store in memory",
        unit: "paths",
    },
    maxBodyBytes: {
        schema: integer(1, MAX_BODY_BYTES, 4_194_304),
        description: "largest body of an online request",
        unit: "bytes",
    },
    drainDelayMs: {
        schema: integer(0, 600_000, 1_000),
        description: "how long to go on accepting after the readiness check says no, at shutdown",
        unit: "ms",
    },
    drainTimeoutMs: {
        schema: integer(0, 3_600_000, 60_000),
        description: "how long to wait for requests in flight at shutdown",
        unit: "ms",
    },
    routePolicy: {
        schema: z.enum(["prefix-affinity", "least-outstanding", "round-robin"]).default("prefix-affinity"),
        description: "how an endpoint is chosen: prefix-affinity, least-outstanding or round-robin",
        unit: "",
    },
    batchAdmission: {
        schema: z.enum(["credits", "fixed", "latency"]).default("credits"),
        description: "how batch shares endpoints with online: credits, fixed or latency",
        unit: "",
    },
    batchFixedConcurrency: {
        schema: integer(1, 10_000, 3),
        description: "batch items at once of this instance, with the fixed admission",
        unit: "items",
    },
    limitPolicy: {
        schema: z.enum(["grants", "static-split"]).default("grants"),
        description: "how rates are divided: grants from owners, or a static split over the listed instances",
        unit: "",
    },
    logLevel: { schema: z.enum(LOG_LEVELS).default("info"), description: `one of ${LOG_LEVELS.join(", ")}`, unit: "" },
} satisfies SettingSpecs;

/** Checked settings of the daemon. */
export type DaemonSettings = SettingValues<typeof daemonSettings>;
