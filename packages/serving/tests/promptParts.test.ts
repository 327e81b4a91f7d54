import { err, ok, type Result } from "neverthrow";
import { beforeEach, describe, expect, it, vi } from "vitest";
import {
    AttemptFilter,
    CrashSuspectRegistry,
    type DeliveredResponse,
    DispatchError,
    type Exchange,
    getPromptParts,
} from "../src";
import { newResolvedExchange } from "./testExchange";

vi.mock("../src/endpoints/probe", () => ({ probeEndpoint: () => Promise.resolve(false) }));

/** Longer than the time within which crashes have a common cause. */
const CRASH_GAP_MS = 101;
const CRASHES_TO_BLOCK = 3;

let dispatched: string[];
let filter: AttemptFilter;

beforeEach(() => {
    dispatched = [];
    const suspects = new CrashSuspectRegistry(() => undefined, () => undefined);
    filter = newFilter(suspects);
});

/** @returns A filter whose endpoints crash on each request that has a message `bad`. */
function newFilter(suspects: CrashSuspectRegistry): AttemptFilter {
    const dispatch = (exchange: Exchange): Promise<Result<DeliveredResponse, DispatchError>> => {
        const body = exchange.body.toString();
        dispatched.push(body);
        return Promise.resolve(
            body.includes('"bad"')
                ? err(new DispatchError("reset", "the connection was lost", true))
                : ok({ status: 200 }),
        );
    };
    let endpoints = 0;
    const acquire = () => {
        endpoints += 1;
        return Promise.resolve(
            ok({ endpoint: `e${endpoints}`, spec: {}, isExclusive: false, release: () => undefined }),
        );
    };
    return new AttemptFilter(
        { acquire } as never,
        { dispatch },
        { recordRequest: () => undefined, tryTake: () => false } as never,
        suspects,
        { hasQuarantinedRequests: () => false } as never,
    );
}

async function send(...contents: readonly string[]): Promise<string> {
    const messages = contents.map(content => ({ role: "user", content }));
    const exchange = newResolvedExchange("online", JSON.stringify({ model: "m", messages }));
    exchange.promptParts = getPromptParts(messages);
    const outcome = await filter.handle(exchange, () => Promise.reject(new Error("unused")));
    await new Promise(resolve => setTimeout(resolve, CRASH_GAP_MS));
    return outcome.match(() => "delivered", ({ kind }) => kind);
}

describe("a message that crashes each endpoint", () => {
    it("is sent to few endpoints, while requests that share its other messages are served", async () => {
        expect(await send("system", "own")).toBe("delivered");
        for (let request = 0; request < CRASHES_TO_BLOCK; request += 1) {
            expect(await send("system", "bad", `own ${request}`)).toBe("endpoint-failed");
        }
        expect(await send("system", "bad", "yet another")).toBe("quarantined");
        expect(await send("system", "own 2")).toBe("delivered");
        expect(dispatched.filter(body => body.includes('"bad"'))).toHaveLength(CRASHES_TO_BLOCK);
    });

    it("is not blamed where it is the last message, which is the request's own", async () => {
        for (let request = 0; request < CRASHES_TO_BLOCK + 1; request += 1) {
            expect(await send(`system ${request}`, "bad")).toBe("endpoint-failed");
        }
    });
});
