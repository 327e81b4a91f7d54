import { newLogger } from "@heatherline/common";
import { MemoryStore } from "@heatherline/store";
import { err } from "neverthrow";
import { describe, expect, it } from "vitest";
import { BLOCKED_PROMPT_KIND, FleetView, MEMBER_KIND, StateFeed } from "../src";

const MEMBER = {
    instanceId: "i",
    incarnation: "x",
    host: "127.0.0.1",
    rpcPort: 1,
    dataCentre: "east",
    processorShare: 0.5,
};
const BLOCK = { parts: ["a"], trials: 1, laterCrashes: 0, blockedAt: 1 };

async function read(kind: string, odd: object): Promise<FleetView> {
    const store = new MemoryStore();
    await store.put(`${kind}/odd`, odd as Record<string, unknown>, 0);
    await store.put(`${MEMBER_KIND}/i`, MEMBER, 0);
    await store.put(`${BLOCKED_PROMPT_KIND}/b`, BLOCK, 0);
    // JSON of other writers may hold numbers that JavaScript reads as infinite and can't write.
    const list = store.list.bind(store);
    store.list = async prefix =>
        (await list(prefix)).map(listing => ({
            ...listing,
            objects: listing.objects.map(object =>
                object.path.endsWith("/odd") ? { ...object, value: odd as never } : object
            ),
        }));
    const view = new FleetView(1_200);
    const feed = new StateFeed(
        store,
        { decodeConfig: () => err("not needed") } as never,
        view,
        {
            onRetirements: () => undefined,
            onJobs: () => undefined,
        },
        () => false,
        newLogger("test", "fatal"),
    );
    await feed.readMembers();
    await feed.readBlockedPrompts();
    return view;
}

// It ranked first for the lease and as the deputy, or was never removed since its name is another's.
describe("an odd registration of an instance is ignored", () => {
    it.each([
        { what: "infinite processor time", odd: { ...MEMBER, instanceId: "odd", processorShare: Infinity } },
        { what: "port 99999", odd: { ...MEMBER, instanceId: "odd", rpcPort: 99_999 } },
        { what: "port 1.5", odd: { ...MEMBER, instanceId: "odd", rpcPort: 1.5 } },
        { what: "port 0", odd: { ...MEMBER, instanceId: "odd", rpcPort: 0 } },
        { what: "the id of another instance", odd: { ...MEMBER, incarnation: "y" } },
        { what: "nothing", odd: {} },
        { what: "a list", odd: [] },
    ])("$what", async ({ odd }) => {
        expect((await read(MEMBER_KIND, odd)).members).toEqual([MEMBER]);
    });
});

describe("an odd blocked prompt is ignored", () => {
    it.each([
        { what: "infinite trials", odd: { ...BLOCK, trials: Infinity } },
        { what: "blocked at an infinite time", odd: { ...BLOCK, blockedAt: -Infinity } },
        { what: "parts that are no text", odd: { ...BLOCK, parts: [[]] } },
        { what: "no parts", odd: { ...BLOCK, parts: [] } },
    ])("$what", async ({ odd }) => {
        expect((await read(BLOCKED_PROMPT_KIND, odd)).blockedPrompts).toEqual([{ blockId: "b", ...BLOCK }]);
    });
});
