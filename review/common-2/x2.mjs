import { call, HOST, newConfig, newId, runCase, sleep } from "./harness.mjs";
import { readFileSync } from "node:fs";
const N = Number(process.env.N ?? 8);
await runCase("/tmp/x", async (record, newDeployment) => {
    const d = newDeployment();
    await d.start();
    d.writeConfig(newConfig());
    for (const dataCentre of ["east", "west"]) await d.addEngine({ service: "lm", dataCentre, eventGapMs: 5 });
    for (const zone of ["east", "west"]) for (let i = 1; i <= 2; i += 1) await d.addGateway(`front-${zone}-${i}`, zone);
    await d.waitForLeader(); await sleep(2000);
    const leader = d.getLeader();
    let exits = 0;
    d.gateways.forEach(g => g.child.on("exit", (c, s) => { exits += 1; console.log("EXIT", g.name, c, s, g.lines.slice(-12).join("\n").slice(-2500)); }));
    const rss = g => { try { return Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${g.child.pid}/status`, "utf8"))[1]) / 1000; } catch { return 0; } };
    const st = {};
    let jobs = 0;
    const start = Date.now();
    const end = start + Number(process.env.MS ?? 60000);
    const t = setInterval(() => console.log(((Date.now() - start) / 1000).toFixed(0), "jobs", jobs, d.gateways.map(g => `${g === leader ? "*" : ""}${rss(g).toFixed(0)}`).join(" "), JSON.stringify(st)), 5000);
    const prefix = Array.from({ length: Number(process.env.PARTS ?? 14) }, () => `${newId()}:30`).join(",");
    await Promise.all(Array.from({ length: N }, async (_, k) => {
        const others = d.gateways;
        const target = others[k % others.length];
        while (Date.now() < end && exits === 0) {
            const id = newId();
            const items = Array.from({ length: 200 }, () => { const i = newId(); return { id: i, path: `/jobs/${i}`, headers: { Model: "m", "Token-Count": "400,60", "Prompt-Prefix": prefix }, body: "q83vEjRWeJA=", tokens: 460 }; });
            const h = { Host: HOST, Authorization: "Token alpha-key", "Request-Id": id, "Content-Type": "application/json", Deadline: "4000" };
            const r = await call(target.front, { path: `/jobs/${id}`, headers: h, body: JSON.stringify({ items }) });
            st[r.status] = (st[r.status] ?? 0) + 1;
            if (r.status === 202) { jobs += 1; const q = await call(target.front, { method: "DELETE", path: `/-/lots/${id}`, headers: h }); st["D" + q.status] = (st["D" + q.status] ?? 0) + 1; }
            await sleep(100);
        }
    }));
    return { code: exits ? 1 : 0, reason: `jobs ${jobs}` };
});
