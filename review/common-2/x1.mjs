import { call, GENERATION_HEADERS, HOST, newConfig, newId, runCase, sleep } from "./harness.mjs";
import { readFileSync } from "node:fs";
const N = Number(process.env.N ?? 16), ITEMS = Number(process.env.ITEMS ?? 12), SIZE = Number(process.env.SIZE ?? 250000);
await runCase("/tmp/x", async (record, newDeployment) => {
    const d = newDeployment();
    await d.start();
    d.writeConfig(newConfig());
    for (const dataCentre of ["east", "west"]) await d.addEngine({ service: "lm", dataCentre, eventGapMs: 5 });
    for (const zone of ["east", "west"]) for (let i = 1; i <= 2; i += 1) await d.addGateway(`front-${zone}-${i}`, zone);
    await d.waitForLeader(); await sleep(2000);
    const target = d.gateways.find(g => g !== d.getLeader());
    let peak = 0; let exits = 0;
    d.gateways.forEach(g => g.child.on("exit", (c, s) => { exits += 1; console.log("EXIT", g.name, c, s, g.lines.slice(-8).join("\n").slice(-1500)); }));
    const t = setInterval(() => { try { const m = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${target.child.pid}/status`, "utf8")); const v = Number(m[1]) / 1000; if (v > peak) { peak = v; } } catch {} }, 20);
    const body = Buffer.alloc(SIZE, "x").toString("base64");
    const st = {};
    const end = Date.now() + Number(process.env.MS ?? 15000);
    await Promise.all(Array.from({ length: N }, async () => {
        while (Date.now() < end) {
            const id = newId();
            const items = Array.from({ length: ITEMS }, () => { const i = newId(); return { id: i, path: `/jobs/${i}`, headers: GENERATION_HEADERS, body, tokens: 100 }; });
            const r = await call(target.front, { path: `/jobs/${id}`, headers: { Host: HOST, Authorization: "Token alpha-key", "Request-Id": id, "Content-Type": "application/json", Deadline: "4000" }, body: JSON.stringify({ items }) });
            st[r.status] = (st[r.status] ?? 0) + 1;
            await sleep(100);
        }
    }));
    console.log("status", st, "peak RSS MB", peak, "exits", exits);
    return { code: exits ? 1 : 0, reason: `peak ${peak}` };
});
