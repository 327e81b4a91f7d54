// A tenant whose homes are in one geo hands in a batch job; a server there crashes and is back after some seconds.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    BROKEN,
    call,
    GENERATION_HEADERS,
    hasTrouble,
    HELD,
    HOST,
    newConfig,
    newId,
    NOT_RUN,
    runCase,
    sleep,
} from "../common-2/harness.mjs";

const HOME = "at-east";
const ITEMS = 6;
const TOKENS_PER_ITEM = 160;
const CRASH_AFTER_MS = 500;
const DOWN_MS = 4_500;
const WAIT_MS = 20_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, newDeployment) => {
    const regions = { east: HOME, west: "at-west" };
    const deployment = newDeployment({ regions });
    await deployment.start();
    const tenant = { name: "alpha", apiKeys: ["alpha-key"], priority: 0, ratePerS: 0, burst: 0, allowedRegions: [HOME] };
    deployment.writeConfig(newConfig({ tenants: [tenant] }));
    record.write(`tenant alpha has the home ${HOME}; its routes have none`);
    const zoneOf = new Map();
    for (const dataCentre of ["east", "west"]) {
        const server = await deployment.addEngine({ service: "lm", dataCentre, eventGapMs: 50 });
        zoneOf.set(server, dataCentre);
    }
    for (const zone of ["east", "west"]) {
        for (let index = 1; index <= 2; index += 1) {
            await deployment.addGateway(`front-${zone}-${index}`, zone);
        }
    }
    if (await deployment.waitForLeader() === undefined) {
        return { code: NOT_RUN, reason: "there is no leader" };
    }
    await sleep(2_000);
    const front = deployment.gateways.find(({ zone }) => zone === "east");
    const jobId = newId();
    const items = Array.from({ length: ITEMS }, () => {
        const id = newId();
        const body = Buffer.from("item events=40").toString("base64");
        return { id, path: `/jobs/${id}`, headers: GENERATION_HEADERS, body, tokens: TOKENS_PER_ITEM };
    });
    const headers = { Host: HOST, Authorization: "Token alpha-key", "Request-Id": jobId, Deadline: "4000" };
    record.write(`client submits job ${jobId} of ${ITEMS} items to ${front.name}`);
    const submitted = await call(front.front, { path: `/jobs/${jobId}`, headers, body: JSON.stringify({ items }) });
    record.write(`client gets ${submitted.status} for job ${jobId}`);
    if (submitted.status !== 202) {
        return { code: NOT_RUN, reason: `the job got ${submitted.status}` };
    }
    await sleep(CRASH_AFTER_MS);
    const home = deployment.engines[0];
    if (hasTrouble) {
        record.write(`disruption: server ${home.id} crashes, and is down for ${DOWN_MS} ms`);
        home.server.close();
        home.server.closeAllConnections();
        void sleep(DOWN_MS).then(() => home.server.listen(home.port, "127.0.0.1"));
    }
    const endAtMs = Date.now() + WAIT_MS;
    let results = [];
    while (Date.now() < endAtMs && results.length < ITEMS) {
        await sleep(500);
        const read = await call(front.front, { method: "GET", path: `/-/lots/${jobId}?after=0`, headers });
        results = read.status === 200 ? JSON.parse(read.body).results : results;
    }
    record.write(`client has read ${results.length} results`);
    let abroad = 0;
    for (const server of deployment.engines) {
        for (const { requestId, atMs } of server.seen) {
            record.write(`server ${server.id} in geo ${regions[zoneOf.get(server)]} runs item ${requestId}`, atMs);
            abroad += regions[zoneOf.get(server)] === HOME ? 0 : 1;
        }
    }
    return { code: abroad > 0 ? BROKEN : HELD, reason: `${abroad} runs of its items in another geo, 0 allowed` };
});
