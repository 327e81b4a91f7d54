import { readFileSync } from "node:fs";
import { printTable } from "./output";

/** Slopes as measured; bench/results/slopes.json says by which commands. */
interface Slopes {
    readonly control: readonly {
        readonly instances: number;
        readonly requestsPerSEach: number;
        readonly messagesPerS: number;
        readonly kBPerS: number;
        readonly cpuPercent: number;
        readonly memoryMB: number;
        readonly storeReadsPerS: number;
        readonly storeWritesPerS: number;
    }[];
    readonly batch: {
        readonly itemsPerS: number;
        readonly storeWritesPerItem: number;
        readonly storeReadsPerItem: number;
    };
    readonly daemonRequestsPerS: number;
}

const DATA_CENTRES_MEASURED = 3;

/** The size of two years from now. */
const TARGET = {
    instances: 370,
    dataCentres: 11,
    requestsPerS: 4_600,
    itemsPerDay: 11_000_000,
    jobsPerDay: 8_600,
    changesPerDay: 1_200,
    cpuPercent: 2.3,
    memoryMB: 32,
    kBPerS: 2,
    storeWritesPerS: 300,
    storeReadsPerS: 2_000,
};
const SECONDS_PER_DAY = 86_400;

/** Works the costs at two years' size out of measured slopes, by straight lines over the members of a data centre. */
export async function printCapacity(): Promise<void> {
    const slopes = JSON.parse(readFileSync("bench/results/slopes.json", "utf8")) as Slopes;
    const members = TARGET.instances / TARGET.dataCentres;
    const idle = slopes.control.filter(({ requestsPerSEach }) => requestsPerSEach === 0);
    const at = (get: (row: Slopes["control"][number]) => number) =>
        extrapolate(idle.map(row => [row.instances / DATA_CENTRES_MEASURED, get(row)]), members);
    const readsPerS = extrapolate(idle.map(row => [row.instances, row.storeReadsPerS]), TARGET.instances);
    // Leases are written by data centre, however many instances it has.
    const leaseWritesPerS = idle.reduce((sum, row) => sum + row.storeWritesPerS, 0) / idle.length /
        DATA_CENTRES_MEASURED;
    const itemsPerS = TARGET.itemsPerDay / SECONDS_PER_DAY;
    const requestShare = TARGET.requestsPerS / TARGET.instances;
    printTable(
        `control per instance at ${TARGET.instances} instances, ${
            members.toFixed(1)
        } in a data centre, by straight lines`,
        [
            { what: "traffic KB/s", worked: at(row => row.kBPerS), allowed: TARGET.kBPerS },
            { what: "messages/s", worked: at(row => row.messagesPerS), allowed: "-" },
            { what: "CPU % of a core", worked: at(row => row.cpuPercent), allowed: TARGET.cpuPercent },
            {
                what: "memory of the process MB",
                worked: at(row => row.memoryMB),
                allowed: `${TARGET.memoryMB} for control`,
            },
        ],
    );
    printTable("store calls of the whole fleet", [
        {
            what: "writes/s",
            "leases and lists": leaseWritesPerS * TARGET.dataCentres,
            batch: itemsPerS * slopes.batch.storeWritesPerItem + TARGET.jobsPerDay / SECONDS_PER_DAY * 4,
            audit: TARGET.instances / 5,
            allowed: TARGET.storeWritesPerS,
        },
        {
            what: "reads/s, beside 370 waiting watches",
            "leases and lists": readsPerS,
            batch: itemsPerS * slopes.batch.storeReadsPerItem,
            audit: 0,
            allowed: TARGET.storeReadsPerS,
        },
    ]);
    printTable("requests", [{
        "requests/s an instance": requestShare,
        "CPU % of a core at the measured cost": requestShare / slopes.daemonRequestsPerS * 100,
        "batch items/s in all": itemsPerS,
        "items/s one instance runs": slopes.batch.itemsPerS,
    }]);
}

/** Least squares. */
function extrapolate(points: readonly (readonly [number, number])[], at: number): number {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const slope = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) /
        points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    return meanY + slope * (at - meanX);
}
