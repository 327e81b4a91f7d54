import { describeError, type Logger } from "@heatherline/common";
import type { ConfigReplica, VersionedDocument } from "@heatherline/config";
import { mkdir, readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";

const FILE_NAME = "config.json";
const SAVE_DELAY_MS = 500;

/** Content of the cache file. */
interface SavedConfig {
    readonly savedAt: string;
    readonly documents: readonly VersionedDocument[];
}

/** Caches the configuration in force on disk, so that the instance can start while store and peers are unreachable. */
export class ConfigDiskCache {
    private saveTimer: NodeJS.Timeout | undefined;

    /**
     * @param folder - Data folder of the instance.
     * @param replica - The configuration to cache.
     * @param onLoaded - Called with the age of the cached configuration in milliseconds once it is loaded.
     * @param logger - Log of the daemon.
     */
    constructor(
        private readonly folder: string,
        private readonly replica: ConfigReplica,
        private readonly onLoaded: (ageMs: number) => void,
        private readonly logger: Logger,
    ) {}

    /** Loads the cached configuration, if there is one, and saves every later change. */
    async start(): Promise<void> {
        try {
            const text = await readFile(join(this.folder, FILE_NAME), "utf8");
            const saved = JSON.parse(text) as SavedConfig;
            for (const document of saved.documents) {
                this.replica.merge(document);
            }
            this.onLoaded(Math.max(0, Date.now() - Date.parse(saved.savedAt)));
        }
        catch (error) {
            this.logger.info({ error: describeError(error) }, "no cached configuration on disk");
        }
        this.replica.onChange(() => {
            this.saveTimer ??= setTimeout(() => void this.save(), SAVE_DELAY_MS);
        });
    }

    private async save(): Promise<void> {
        this.saveTimer = undefined;
        try {
            await mkdir(this.folder, { recursive: true });
            const path = join(this.folder, FILE_NAME);
            const saved: SavedConfig = { savedAt: new Date().toISOString(), documents: this.replica.export() };
            // Writes to a temporary file first, so that a crash during the write leaves the last good copy intact.
            await writeFile(`${path}.new`, JSON.stringify(saved));
            await rename(`${path}.new`, path);
        }
        catch (error) {
            this.logger.warn({ error: describeError(error) }, "the configuration can't be saved on disk");
        }
    }
}
