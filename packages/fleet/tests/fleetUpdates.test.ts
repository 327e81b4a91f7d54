import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type EndpointEntry, FleetView, type MemberEntry, SyncOutbox, type SyncRequest } from "../src";

const RENEWAL_MS = 1_200;
const PROPERTY_SEED = 20_261_204;
const INSTANCES = 165;
const LONG_POLL_MS = 250;

beforeEach(() => vi.useFakeTimers());
afterEach(() => vi.useRealTimers());

function newMember(index: number, incarnation = "1"): MemberEntry {
    const instanceId = `instance-${index}`;
    return { instanceId, incarnation, host: "127.0.0.1", rpcPort: 1, dataCentre: "east", processorShare: 1 };
}

function newEndpoint(index: number, state: EndpointEntry["state"] = "ready"): EndpointEntry {
    const endpointId = `endpoint-${index}`;
    return { endpointId, service: "lm", host: "h", port: 1, dataCentre: "east", slots: 8, state, coldLeftMs: 0 };
}

/** Sends an update through JSON, as it is between instances. */
function sync(sender: FleetView, receiver: FleetView): number {
    const text = JSON.stringify(sender.newUpdateFor(receiver.getRevisions()));
    receiver.applyUpdate(JSON.parse(text) as ReturnType<FleetView["newUpdateFor"]>, 0);
    return text.length;
}

function newView(members: readonly MemberEntry[], revision: number): FleetView {
    const view = new FleetView(RENEWAL_MS);
    view.applyMembers({ revision, value: members });
    return view;
}

function sortById(members: readonly MemberEntry[]): MemberEntry[] {
    return [...members].sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
}

describe("updates between instances", () => {
    it("send a change of one of 165 instances as that change, not as the whole list", () => {
        const members = Array.from({ length: INSTANCES }, (_, index) => newMember(index));
        const sender = newView(members, 10);
        const receiver = newView([], 0);
        const wholeBytes = sync(sender, receiver);
        const restarted = members.map((member, index) => index === 7 ? newMember(7, "2") : member);
        sender.applyMembers({ revision: 11, value: restarted });
        const changeBytes = sync(sender, receiver);
        expect(receiver.members).toEqual(restarted);
        expect(changeBytes).toBeLessThan(wholeBytes / 50);
    });

    it("send the whole list to an instance of an earlier release, which knows no changes", () => {
        const sender = newView([newMember(1)], 10);
        sender.applyMembers({ revision: 11, value: [newMember(1), newMember(2)] });
        const { members, memberChanges } = sender.newUpdateFor({ config: 0, endpoints: 0, evacuated: 0, members: 10 });
        expect(members?.value.length).toBe(2);
        expect(memberChanges).toBeUndefined();
    });

    it("ignore changes of a list that the receiver doesn't have", () => {
        const receiver = newView([newMember(1)], 5);
        const memberChanges = { since: 8, revision: 9, changed: [newMember(2)], removedIds: [] };
        receiver.applyUpdate({ memberChanges, configAgeMs: 0 }, 0);
        expect([receiver.members.length, receiver.getRevisions().members]).toEqual([1, 5]);
    });

    it("give any receiver the sender's lists, whatever it has seen before", () => {
        const list = fc.uniqueArray(fc.record({ index: fc.nat(9), incarnation: fc.constantFrom("1", "2") }), {
            selector: ({ index }) => index,
        });
        const steps = fc.array(fc.record({ list, isSynced: fc.boolean(), hasOwnRead: fc.boolean() }), {
            maxLength: 12,
        });
        fc.assert(
            fc.property(steps, changes => {
                const sender = new FleetView(RENEWAL_MS);
                const receiver = new FleetView(RENEWAL_MS);
                let revision = 1;
                for (const step of changes) {
                    revision += 1;
                    const value = step.list.map(({ index, incarnation }) => newMember(index, incarnation));
                    const endpoints = step.list.map(({ index, incarnation }) =>
                        newEndpoint(index, incarnation === "1" ? "ready" : "draining")
                    );
                    sender.applyMembers({ revision, value });
                    sender.applyEndpoints({ revision, value: endpoints });
                    if (step.hasOwnRead) {
                        receiver.applyMembers({ revision, value });
                    }
                    if (step.isSynced) {
                        sync(sender, receiver);
                        expect(sortById(receiver.members)).toEqual(sortById(sender.members));
                        expect(new Set(receiver.getEndpoints())).toEqual(new Set(sender.getEndpoints()));
                        expect(receiver.getRevisions()).toEqual(sender.getRevisions());
                    }
                }
            }),
            { seed: PROPERTY_SEED, numRuns: 200 },
        );
    });
});

describe("sync replies while 165 instances register one after the other", () => {
    it("are not sent at once for each registration, but are for a change of an endpoint", async () => {
        const view = newView([newMember(0)], 1);
        const outbox = new SyncOutbox(view);
        let replies = 0;
        const poll = async (member: MemberEntry) => {
            const known = view.getRevisions();
            const request: SyncRequest = {
                member,
                known,
                places: undefined,
                jobs: [],
                isStoreFailing: false,
                waitMs: LONG_POLL_MS,
            };
            await outbox.waitForUpdate(request);
            replies += 1;
        };
        Array.from({ length: INSTANCES }, (_, index) => void poll(newMember(index)));
        for (let index = 1; index < INSTANCES; index += 1) {
            view.applyMembers({
                revision: index + 1,
                value: Array.from({ length: index + 1 }, (_, other) => newMember(other)),
            });
            outbox.replyToReady();
            await vi.advanceTimersByTimeAsync(1);
        }
        expect(replies).toBe(0);
        view.applyEndpoints({ revision: INSTANCES + 1, value: [newEndpoint(1)] });
        outbox.replyToReady();
        await vi.advanceTimersByTimeAsync(0);
        expect(replies).toBe(INSTANCES);
    });
});
