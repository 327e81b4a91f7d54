// A request that crashes each server which begins to run it comes again and again; the process of one gateway ends.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    BROKEN,
    call,
    hasTrouble,
    HELD,
    HOST,
    newConfig,
    newId,
    NOT_RUN,
    runCase,
    sleep,
} from "../common-2/harness.mjs";

const CONTACT_MS = 3_000;
const MAX_RETRIES = 3;
const CRASHES_BEFORE = 3;
/** The request comes again this long after its answer, or after the time that a refusal names. */
const AGAIN_MS = 100;
const SERVER_DOWN_MS = 2_000;
const WARMUP_MS = 3_000;
const CRASH_DELAY_MS = 30;
/** The process ends this long after the third crash. */
const KILL_AFTER_MS = 4_000;
const RESTART_MS = 500;
/** How long the request comes again after the third crash. */
const PRESS_MS = 20_000;
const GIVE_UP_MS = 60_000;
const BODY = "the same body each time";

/** Makes a server crash when it begins to run the request; it is back after a while, under the id that it had. */
function makeCrashable(server, store, record, crashes) {
    server.respond = async entry => {
        crashes.runs.push({ requestId: entry.requestId, server: server.id, atMs: entry.atMs });
        record.write(`server ${server.id} begins to run ${entry.requestId}`, entry.atMs);
        await sleep(CRASH_DELAY_MS);
        if (!server.server.listening) {
            return;
        }
        crashes.atMs.push(Date.now());
        record.write(`server ${server.id} crashes`);
        server.server.close();
        server.server.closeAllConnections();
        await sleep(SERVER_DOWN_MS);
        if (!crashes.isOver) {
            server.startedAt = Date.now();
            server.server.listen(server.port, "127.0.0.1");
            store.write("servers", server.id, { ...server.getRegistration(), warmupLeftMs: WARMUP_MS });
            record.write(`server ${server.id} is back, and cold`);
        }
    };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, newDeployment) => {
    const deployment = newDeployment();
    await deployment.start();
    // As for the sheet's drafts, which may run once only: a stream that is not resumable, with one attempt.
    deployment.writeConfig(newConfig({ routes: { again: { resumable: false, maxAttempts: 1 } } }));
    const zones = ["east", "west"];
    const crashes = { atMs: [], runs: [], isOver: false };
    for (const dataCentre of [...zones, ...zones, ...zones]) {
        const server = await deployment.addEngine({ service: "lm", dataCentre });
        makeCrashable(server, deployment.store, record, crashes);
    }
    for (const zone of zones) {
        for (let index = 1; index <= 3; index += 1) {
            await deployment.addGateway(`front-${zone}-${index}`, zone);
        }
    }
    if (await deployment.waitForLeader() === undefined) {
        return { code: NOT_RUN, reason: "there is no leader" };
    }
    await sleep(4_000);
    const startMs = Date.now();
    const sentTo = new Map();
    let killed;
    let untilMs = startMs + GIVE_UP_MS;
    for (let count = 0; Date.now() < untilMs; count += 1) {
        const thirdCrashMs = crashes.atMs[CRASHES_BEFORE - 1];
        if (thirdCrashMs !== undefined) {
            untilMs = thirdCrashMs + PRESS_MS;
            if (killed === undefined && hasTrouble && Date.now() > thirdCrashMs + KILL_AFTER_MS) {
                killed = deployment.getLeader();
                deployment.signal(killed, "SIGKILL");
                void deployment.restartAfter(killed, RESTART_MS);
            }
        }
        const others = deployment.gateways.filter(gateway => gateway !== killed);
        const gateway = others[count % others.length];
        const requestId = newId();
        sentTo.set(requestId, gateway.name);
        record.write(`client sends ${requestId} to ${gateway.name}`);
        const { status, headers: answered } = await call(gateway.front, {
            path: "/again/crashing",
            headers: {
                Host: HOST,
                Authorization: "Token alpha-key",
                "Request-Id": requestId,
                Deadline: "5000",
                Model: "m",
                "Token-Count": "50,60",
                "Prompt-Prefix": "c4a5:50",
            },
            body: BODY,
        });
        record.write(`client gets ${status} for ${requestId}`);
        await sleep(Math.max(AGAIN_MS, Number(answered["retry-after"] ?? 0) * 1_000));
    }
    crashes.isOver = true;
    const thirdCrashMs = crashes.atMs[CRASHES_BEFORE - 1];
    if (thirdCrashMs === undefined) {
        return { code: NOT_RUN, reason: `${crashes.atMs.length} crashes only` };
    }
    // Sent by machines in touch: the gateway that was killed isn't counted at all.
    const late = crashes.runs.filter(({ requestId, atMs }) =>
        atMs > thirdCrashMs + CONTACT_MS && sentTo.get(requestId) !== killed?.name
    );
    const retries = new Set(late.map(({ requestId }) => requestId)).size;
    const reason = `${retries} retries reached servers later than ${CONTACT_MS} ms after the third crash, `
        + `${MAX_RETRIES} allowed; ${crashes.atMs.length} crashes`;
    return { code: retries > MAX_RETRIES ? BROKEN : HELD, reason };
});
