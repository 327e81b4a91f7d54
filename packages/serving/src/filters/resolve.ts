import type { ConfigReplica, RouteSpec, ServiceDocument } from "@heatherline/config";
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { Refusal } from "../errors";
import type { Exchange, Filter, Next, Outcome } from "../exchange";
import { getPromptParts } from "../promptParts";

const OPENAI_PREFIX = "/v1/";
const PLAIN_PREFIX = "/services/";
/** Length of the prompt prefix that is used for prefix affinity. */
const PREFIX_CHARACTERS = 512;

const openAiBodySchema = z.looseObject({
    model: z.string().min(1),
    stream: z.boolean().optional(),
    messages: z.array(z.looseObject({ role: z.string() })).min(1).optional(),
    prompt: z.union([z.string(), z.array(z.unknown())]).optional(),
    input: z.union([z.string(), z.array(z.unknown())]).optional(),
});

interface RouteTarget {
    readonly service: ServiceDocument;
    readonly route: RouteSpec;
    readonly upstreamPath: string;
}

/** Resolves the service and the route of a request, and validates the body if the service has an OpenAI interface. */
export class ResolveFilter implements Filter {
    readonly name = "resolve";

    /**
     * @param replica - The current configuration.
     */
    constructor(private readonly replica: ConfigReplica) {}

    async handle(exchange: Exchange, next: Next): Promise<Outcome> {
        const target = exchange.path.startsWith(PLAIN_PREFIX)
            ? this.resolvePlain(exchange)
            : this.resolveOpenAi(exchange);
        if (target.isErr()) {
            return err(target.error);
        }
        exchange.service = target.value.service;
        exchange.route = target.value.route;
        exchange.upstreamPath = target.value.upstreamPath;
        return next(exchange);
    }

    private resolvePlain(exchange: Exchange): Result<RouteTarget, Refusal> {
        const [name = "", ...rest] = exchange.path.slice(PLAIN_PREFIX.length).split("/");
        const upstreamPath = `/${rest.join("/")}`;
        const service = this.replica.getServices().find(other => other.service === name && other.interface === "plain");
        if (service === undefined) {
            return err(new Refusal("not-found", 404, `there is no service ${JSON.stringify(name)}`, true));
        }
        return findRoute(service, exchange.method, upstreamPath).map(route => ({ service, route, upstreamPath }));
    }

    private resolveOpenAi(exchange: Exchange): Result<RouteTarget, Refusal> {
        const { path, method } = exchange;
        if (!path.startsWith(OPENAI_PREFIX)) {
            return err(new Refusal("not-found", 404, `there is no route ${JSON.stringify(path)}`, true));
        }
        if (method !== "POST") {
            return err(new Refusal("method-not-allowed", 405, `${method} is not allowed here`, true));
        }
        const body = parseBody(exchange.body);
        if (body.isErr()) {
            return err(body.error);
        }
        const { model } = body.value;
        const service = this.replica.findServiceByModel(model);
        if (service === undefined) {
            return err(new Refusal("model-not-found", 404, `there is no model ${JSON.stringify(model)}`, true));
        }
        exchange.model = model;
        exchange.isStream = body.value.stream ?? false;
        exchange.affinityKey = getAffinityKey(body.value);
        exchange.promptParts = getPromptParts(body.value.messages ?? []);
        return findRoute(service, method, path).map(route => ({ service, route, upstreamPath: path }));
    }
}

function parseBody(body: Buffer): Result<z.output<typeof openAiBodySchema>, Refusal> {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    }
    catch (error) {
        const reason = error instanceof Error ? error.message : "";
        return err(new Refusal("bad-request", 400, `the body is not valid JSON: ${reason}`, true));
    }
    const parsed = openAiBodySchema.safeParse(value);
    if (parsed.success) {
        return ok(parsed.data);
    }
    const issue = parsed.error.issues[0];
    const message = `${issue?.path.join(".") || "body"}: ${issue?.message ?? "not valid"}`;
    return err(new Refusal("bad-request", 400, message, true));
}

function findRoute(service: ServiceDocument, method: string, path: string): Result<RouteSpec, Refusal> {
    const pathname = path.split("?")[0] ?? path;
    const matching = service.routes
        .filter(route => route.path === pathname || (route.path.endsWith("/") && pathname.startsWith(route.path)))
        .sort((left, right) => right.path.length - left.path.length);
    const route = matching.find(({ methods }) => (methods as string[]).includes(method));
    if (route !== undefined) {
        return ok(route);
    }
    return matching.length === 0
        ? err(new Refusal("not-found", 404, `${service.service} has no route ${JSON.stringify(pathname)}`, true))
        : err(new Refusal("method-not-allowed", 405, `${method} is not allowed on ${matching[0]?.path}`, true));
}

function getAffinityKey(body: z.output<typeof openAiBodySchema>): string | undefined {
    const prompt = body.messages ?? body.prompt;
    if (prompt === undefined) {
        return undefined;
    }
    const text = typeof prompt === "string" ? prompt : JSON.stringify(prompt);
    return `${body.model}\0${text.slice(0, PREFIX_CHARACTERS)}`;
}
