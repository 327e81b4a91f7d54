import { VERSION } from "@heatherline/common";
import { cac } from "cac";
import { DaemonClient } from "./client";
import { BatchCommands } from "./commands/batch";
import { DocumentCommands } from "./commands/documents";
import { ExplainCommand } from "./commands/explain";
import { ReportCommands } from "./commands/reports";
import { StatusCommand } from "./commands/status";
import { WhereCommand, type WhereOptions } from "./commands/where";
import { DOCUMENT_KINDS } from "./documentKinds";
import { CliError, EXIT_CODES } from "./errors";
import { OUTPUT_FORMATS, type OutputFormat, Printer } from "./output";

const DEFAULT_URL = "http://127.0.0.1:8080";
const DEFAULT_WAIT_S = 10;

/** Options of all commands. */
interface CliOptions extends WhereOptions {
    readonly url?: string;
    readonly operatorToken?: string;
    readonly key?: string;
    readonly output?: string;
    readonly wait?: number | string;
    readonly file?: string | string[];
    readonly dryRun?: boolean;
    readonly idempotencyKey?: string;
    readonly dueAt?: string;
    readonly follow?: boolean;
    readonly from?: string;
    readonly to?: string;
    readonly organisation?: string;
    readonly instance?: string;
    readonly service?: string;
    readonly svg?: string;
}

function newCommands(options: CliOptions) {
    const format = (options.output ?? "table") as OutputFormat;
    if (!OUTPUT_FORMATS.includes(format)) {
        throw new CliError("usage", `--output must be one of ${OUTPUT_FORMATS.join(", ")}`);
    }
    const client = new DaemonClient({
        url: options.instance ?? options.url ?? process.env.HEATHERLINE_URL ?? DEFAULT_URL,
        operatorToken: options.operatorToken ?? process.env.HEATHERLINE_OPERATOR_TOKEN,
        key: options.key ?? process.env.HEATHERLINE_KEY,
    });
    const printer = new Printer(format);
    return {
        documents: new DocumentCommands(client, printer),
        batch: new BatchCommands(client, printer),
        explain: new ExplainCommand(printer),
        status: new StatusCommand(client, printer),
        reports: new ReportCommands(client, printer),
        where: new WhereCommand(client, printer),
    };
}

function getWaitS(options: CliOptions): number {
    const waitS = Number(options.wait ?? DEFAULT_WAIT_S);
    if (!(waitS >= 0)) {
        throw new CliError("usage", "--wait must be a number of seconds");
    }
    return waitS;
}

function getFiles(options: CliOptions): string[] {
    const files = [options.file ?? []].flat().map(String);
    if (files.length === 0) {
        throw new CliError("usage", "-f FILE is required");
    }
    return files;
}

function requireArgument(value: string | undefined, argumentName: string): string {
    if (value === undefined || value === "") {
        throw new CliError("usage", `${argumentName} is required`);
    }
    return value;
}

function newProgram() {
    const program = cac("heatherline");
    program.option("--url <url>", `URL of a daemon (HEATHERLINE_URL; default ${DEFAULT_URL})`);
    program.option(
        "--operator-token <token>",
        "operator token for administrative requests (HEATHERLINE_OPERATOR_TOKEN)",
    );
    program.option("--key <key>", "API key of a caller, for batch commands (HEATHERLINE_KEY)");
    program.option("--output <format>", `${OUTPUT_FORMATS.join(" or ")} (default table)`);
    program.option("--wait <seconds>", `how long to wait until a change is in force (default ${DEFAULT_WAIT_S})`);
    program.command("apply", "apply documents and wait until they are in force")
        .option("-f, --file <file>", "YAML or JSON, repeatable; - for standard input")
        .option("--dry-run", "validate the documents without applying them")
        .action((options: CliOptions) =>
            newCommands(options).documents.apply(getFiles(options), {
                isDryRun: options.dryRun === true,
                waitS: getWaitS(options),
            })
        );
    program.command("diff", "show what apply would change")
        .option("-f, --file <file>", "YAML or JSON, repeatable; - for standard input")
        .action((options: CliOptions) => newCommands(options).documents.diff(getFiles(options)));
    program.command("get <kind> [name]", `show documents; kinds: ${DOCUMENT_KINDS.join(", ")}`)
        .action((kind: string, name: string | undefined, options: CliOptions) => {
            const documentKind = DOCUMENT_KINDS.find(other => other === kind);
            if (documentKind === undefined) {
                throw new CliError("usage", `${kind} is not one of ${DOCUMENT_KINDS.join(", ")}`);
            }
            return newCommands(options).documents.get(documentKind, name);
        });
    program.command("explain <id> <...files>", "explain from logs what happened to a request, a job or a batch item")
        .action((id: string, files: string[], options: CliOptions) => newCommands(options).explain.run(id, files));
    program.command("status", "show all instances and endpoints")
        .action((options: CliOptions) => newCommands(options).status.run());
    program.command("where <kind>", "explain where a request or a job would be sent now, without sending it")
        .option("--route <route>", "HOST/PATH of the request or the job")
        .option("--organisation <name>", "organisation that would send it")
        .option("--prompt-parts <ids>", "request: ids of the shared parts of its prompt, separated by commas")
        .option("--tokens <count>", "prompt tokens and maximum of output tokens, of the request or of each item")
        .option("--items <count>", "job: number of items (default 1)")
        .option("--instance <url>", "URL of the metrics listener of a gateway instance (default --url)")
        .action((kind: string, options: CliOptions) => newCommands(options).where.run(kind, options));
    program.command("key <action> [name]", "issue ORGANISATION, list, or withdraw KEY-ID")
        .action((action: string, name: string | undefined, options: CliOptions) => runKey(action, name, options));
    for (const kind of ["data-centre", "instance"] as const) {
        program.command(
            `${kind} <action> <name>`,
            `take ${kind} NAME out of service, or back in${
                kind === "data-centre" ? "; ended: declare that all its instances have ended" : ""
            }`,
        )
            .action((action: string, name: string, options: CliOptions) => {
                const isEnded = action === "ended" && kind === "data-centre";
                if (action !== "in" && action !== "out" && !isEnded) {
                    throw new CliError(
                        "usage",
                        `${action} is not one of in, out${kind === "data-centre" ? ", ended" : ""}`,
                    );
                }
                return newCommands(options).documents.setState(kind, name, action, getWaitS(options));
            });
    }
    program.command("batch <action> <subject>", "submit FILE, or status, results, cancel JOB")
        .option(
            "--idempotency-key <key>",
            "idempotency key of the job, unique within its organisation",
        )
        .option("--due-at <time>", "deadline of the job, ISO 8601 (default in one day)")
        .option("--follow", "show progress until the job has ended")
        .action((action: string, subject: string, options: CliOptions) => runBatch(action, subject, options));
    program.command("audit", "print the audit log, one JSON line per request")
        .option("--from <minute>", "first minute, YYYY-MM-DDTHH:MM in UTC (default one hour ago)")
        .option("--to <minute>", "last minute (default now)")
        .option("--organisation <name>", "only this organisation")
        .option("--service <name>", "only this service")
        .action((options: CliOptions) => newCommands(options).reports.audit(options));
    program.command("report <name>", "slo-burn: burn rates of the services' objectives")
        .option("--svg <file>", "also write a chart to this file")
        .action((name: string, options: CliOptions) => {
            if (name !== "slo-burn") {
                throw new CliError("usage", `${name} is not one of slo-burn`);
            }
            return newCommands(options).reports.sloBurn(options.svg);
        });
    program.help();
    program.version(VERSION);
    return program;
}

function runKey(action: string, name: string | undefined, options: CliOptions): Promise<void> {
    const { documents } = newCommands(options);
    switch (action) {
        case "issue":
            return documents.issueKey(requireArgument(name, "the organisation"), getWaitS(options));
        case "list":
            return documents.listKeys();
        case "withdraw":
            return documents.withdrawKey(requireArgument(name, "the id of the key"), getWaitS(options));
        default:
            throw new CliError("usage", `${action} is not one of issue, list, withdraw`);
    }
}

function runBatch(action: string, subject: string, options: CliOptions): Promise<void> {
    const { batch } = newCommands(options);
    switch (action) {
        case "submit":
            return batch.submit(subject, {
                idempotencyKey: options.idempotencyKey,
                dueAt: options.dueAt,
                isFollowing: options.follow === true,
            });
        case "status":
            return batch.status(subject);
        case "results":
            return batch.results(subject);
        case "cancel":
            return batch.cancel(subject);
        default:
            throw new CliError("usage", `${action} is not one of submit, status, results, cancel`);
    }
}

async function main(): Promise<void> {
    try {
        const program = newProgram();
        program.parse(process.argv, { run: false });
        if (program.matchedCommand === undefined) {
            if (program.options.help === true || program.options.version === true) {
                return;
            }
            program.outputHelp();
            throw new CliError(
                "usage",
                program.args[0] === undefined ? "a command is required" : `unknown command ${program.args[0]}`,
            );
        }
        await program.runMatchedCommand();
    }
    catch (error) {
        const isUsage = error instanceof Error && error.name === "CACError";
        const kind = error instanceof CliError ? error.kind : isUsage ? "usage" : "refused";
        process.stderr.write(`heatherline: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exitCode = EXIT_CODES[kind];
    }
}

void main();
