import { describe, expect, it } from "vitest";
import { StreamOrigins } from "../src/streamOrigins";

const V1 = { service: "lm", softwareVersion: "v1" };
const V2 = { service: "lm", softwareVersion: "v2" };
const COUNT = 1_000;
const MAX_REPORT_BYTES = 100 * COUNT;

// Guards against a coordinator that runs out of memory, as it remembers a number of ids, however long they are.
describe("where streams began", () => {
    it.each([
        { what: "usual ids", idLength: 16 },
        { what: "ids of the length of a hash", idLength: 64 },
        { what: "long ids", idLength: 8_000 },
    ])("is known here and to those who adopt it, in limited memory: $what", ({ idLength }) => {
        const [own, other] = [new StreamOrigins(() => 60_000), new StreamOrigins(() => 60_000)];
        const newId = (index: number) => `${index}`.padStart(idLength, "i");
        for (let index = 0; index < COUNT; index += 1) {
            own.record(newId(index), index % 2 === 0 ? V1 : V2);
        }
        const reports = own.getReports();
        expect(JSON.stringify(reports).length).toBeLessThan(MAX_REPORT_BYTES);
        other.adopt(reports);
        for (const origins of [own, other]) {
            expect([origins.get(newId(0)), origins.get(newId(1)), origins.get(newId(COUNT))]).toEqual([
                V1,
                V2,
                undefined,
            ]);
        }
    });
});
