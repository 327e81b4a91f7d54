import { writeFileSync } from "node:fs";
import { newSettingsPage } from "./settingsPage";

writeFileSync("docs/SETTINGS.md", newSettingsPage());
