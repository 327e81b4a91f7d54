import { getEnvironmentName, getFlagName } from "@heatherline/common";
import { daemonSettings } from "@heatherline/daemon";

/** @returns The content of docs/SETTINGS.md, generated from the schema of the daemon's settings. */
export function newSettingsPage(): string {
    const rows = Object.entries(daemonSettings).map(([name, { schema, description, unit }]) => {
        const parsed = schema.safeParse(undefined);
        const isRandom = name === "instance";
        const fallback = !parsed.success || parsed.data === undefined || isRandom ? "" : JSON.stringify(parsed.data);
        return `| \`--${getFlagName(name)}\` | \`${
            getEnvironmentName(name)
        }\` | ${unit} | ${fallback} | ${description} |`;
    });
    return [
        "# Settings of heatherlined",
        "",
        "Generated from the schema in `packages/daemon/src/settings.ts` by `npm run settings`; a test compares. Flags go",
        "before environment variables. All faults are named at once, and the daemon then ends with exit code 2.",
        "",
        "| flag | variable | unit | default | meaning |",
        "| --- | --- | --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
}
