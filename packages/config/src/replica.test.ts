import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { ConfigReplica, type VersionedDocument } from "./replica";

const SEED = 20_261_204;

const arbitraryDocument: fc.Arbitrary<VersionedDocument> = fc.record({
    name: fc.constantFrom("east", "mid", "west"),
    version: fc.integer({ min: 1, max: 6 }),
    kind: fc.constantFrom("in", "out", "tombstone", "invalid"),
}).map(({ name, version, kind }) => ({
    path: `config/data-centre/${name}`,
    // In the store, a version of a path has exactly one value, so each kind of value gets its own version numbers.
    version: version * 4 + ["in", "out", "tombstone", "invalid"].indexOf(kind),
    value: kind === "tombstone"
        ? undefined
        : { kind: "data-centre", dataCentre: name, state: kind === "invalid" ? "maybe" : kind },
}));

describe("ConfigReplica", () => {
    it("never goes back to an older version, nor replaces a valid document with an invalid one", () => {
        fc.assert(
            fc.property(fc.array(arbitraryDocument, { maxLength: 40 }), documents => {
                const replica = new ConfigReplica();
                for (const document of documents) {
                    const before = replica.getVersion(document.path);
                    const outcome = replica.merge(document);
                    const after = replica.getVersion(document.path);
                    expect(after).toBeGreaterThanOrEqual(before);
                    expect(outcome === "applied" ? after : before).toBe(
                        outcome === "applied" ? document.version : after,
                    );
                }
                expect(
                    replica.getDocuments("data-centre").every(document =>
                        "state" in document && ["in", "out"].includes(document.state)
                    ),
                ).toBe(true);
            }),
            { seed: SEED },
        );
    });

    it("reaches the same state regardless of the order in which documents arrive", () => {
        fc.assert(
            fc.property(
                fc.array(arbitraryDocument, { maxLength: 30 }).chain(documents =>
                    fc.tuple(fc.constant(documents), fc.shuffledSubarray(documents, { minLength: documents.length }))
                ),
                ([documents, shuffled]) => {
                    const [one, other] = [documents, shuffled].map(order => {
                        const replica = new ConfigReplica();
                        order.forEach(document => replica.merge(document));
                        return replica.getDigest();
                    });
                    expect(one).toBe(other);
                },
            ),
            { seed: SEED },
        );
    });
});

describe("a document that another writer has left", () => {
    const nested = JSON.parse("[".repeat(100_000) + "]".repeat(100_000));

    // The error ended the loop that reads documents, and with it the process.
    it.each([
        { what: "null", value: null },
        { what: "a text", value: "text" },
        { what: "a number", value: 1e308 },
        { what: "a list", value: [1] },
        { what: "nested", value: nested },
        { what: "nested in a field", value: { kind: "data-centre", dataCentre: nested, state: "in" } },
        { what: "of an unknown kind", value: { kind: "__proto__" } },
        { what: "without fields", value: {} },
    ])("is not applied, and the next one is: $what", ({ value }) => {
        const replica = new ConfigReplica();
        const path = "config/data-centre/east";
        expect(replica.merge({ path, version: 1, value } as unknown as VersionedDocument)).toBe("invalid");
        const good = { kind: "data-centre", dataCentre: "east", state: "out" };
        expect(replica.merge({ path, version: 2, value: good })).toBe("applied");
    });
});
