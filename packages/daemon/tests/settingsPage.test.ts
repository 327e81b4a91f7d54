import { readFileSync } from "node:fs";
import { expect, it } from "vitest";
import { newSettingsPage } from "../../../tools/settingsPage";

it("docs/SETTINGS.md says what the settings' schema says", () => {
    expect(readFileSync(new URL("../../../docs/SETTINGS.md", import.meta.url), "utf8")).toBe(newSettingsPage());
});
