import { newLogger, readSettings } from "@heatherline/common";
import { VERSION } from "@heatherline/common";
import { Daemon } from "./daemon";
import { daemonSettings } from "./settings";

const EXIT_USAGE = 2;
const EXIT_FAILURE = 1;

async function main(): Promise<void> {
    const read = readSettings("heatherlined", VERSION, daemonSettings, process.argv, process.env);
    if (read.isErr()) {
        process.stderr.write(
            `heatherlined: the settings are not valid:\n${read.error.map(error => `  ${error}\n`).join("")}`,
        );
        process.exitCode = EXIT_USAGE;
        return;
    }
    if (read.value.kind === "show") {
        return;
    }
    const settings = read.value.values;
    const { instance, dataCentre, logLevel } = settings;
    const logger = newLogger("heatherlined", logLevel, { instance, dataCentre });
    const daemon = new Daemon(settings, logger);
    let isStopping = false;
    const stop = () => {
        if (isStopping) {
            return;
        }
        isStopping = true;
        void daemon.stop().then(() => process.exit(0));
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    try {
        await daemon.start();
    }
    catch (error) {
        logger.fatal({ error: String(error) }, "the daemon failed to start");
        process.exit(EXIT_FAILURE);
    }
}

void main();
