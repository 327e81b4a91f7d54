import { cac } from "cac";
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";

/** One setting: the schema validates it, the other fields document it. */
export interface SettingSpec {
    readonly schema: z.ZodType;
    readonly description: string;
    /** Unit of the value; empty for text and switches. */
    readonly unit: string;
}

/** All settings of a program by camelCase name. */
export type SettingSpecs = Record<string, SettingSpec>;

/** The validated values of a set of settings. */
export type SettingValues<Specs extends SettingSpecs> = {
    readonly [Name in keyof Specs]: z.output<Specs[Name]["schema"]>;
};

/** Result of reading the settings: values to run with, or that help or the version was shown instead. */
export type SettingsOutcome<Specs extends SettingSpecs> =
    | { readonly kind: "run"; readonly values: SettingValues<Specs>; }
    | { readonly kind: "show"; };

const ENVIRONMENT_PREFIX = "HEATHERLINE_";

/**
 * @param name - A camelCase setting name.
 * @returns Its flag without the leading dashes, such as `store-url`.
 */
export function getFlagName(name: string): string {
    return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

/**
 * @param name - A camelCase setting name.
 * @returns Its environment variable.
 */
export function getEnvironmentName(name: string): string {
    return ENVIRONMENT_PREFIX + getFlagName(name).replaceAll("-", "_").toUpperCase();
}

/**
 * Reads settings from flags and environment variables; flags take precedence. All errors are reported together.
 *
 * @param program - Program name for `--help`.
 * @param version - Version for `--version`.
 * @param specs - The settings.
 * @param argv - Arguments as in `process.argv`.
 * @param environment - Environment variables.
 * @returns The validated values, or one line per error.
 */
export function readSettings<Specs extends SettingSpecs>(
    program: string,
    version: string,
    specs: Specs,
    argv: readonly string[],
    environment: NodeJS.ProcessEnv,
): Result<SettingsOutcome<Specs>, string[]> {
    const cli = cac(program);
    for (const [name, spec] of Object.entries(specs)) {
        const unit = spec.unit === "" ? "" : ` [${spec.unit}]`;
        cli.option(`--${getFlagName(name)} <value>`, `${spec.description}${unit} (${getEnvironmentName(name)})`);
    }
    cli.help();
    cli.version(version);
    const { options, args } = cli.parse([...argv], { run: false });
    if (options.help === true || options.version === true) {
        return ok({ kind: "show" });
    }
    const errors = args.map(argument => `unexpected argument ${JSON.stringify(argument)}`);
    const knownFlags = new Set([...Object.keys(specs), "--", "help", "version", "h", "v"]);
    for (const name of Object.keys(options)) {
        if (!knownFlags.has(name)) {
            errors.push(`unknown flag --${getFlagName(name)}`);
        }
    }
    const values: Record<string, unknown> = {};
    for (const [name, spec] of Object.entries(specs)) {
        const rawValue: unknown = options[name] ?? environment[getEnvironmentName(name)];
        const text = rawValue === undefined ? undefined : String(rawValue);
        const parsed = spec.schema.safeParse(text);
        if (parsed.success) {
            values[name] = parsed.data;
            continue;
        }
        for (const issue of parsed.error.issues) {
            const reason = text === undefined ? "is required" : issue.message;
            errors.push(`--${getFlagName(name)} (${getEnvironmentName(name)}): ${reason}`);
        }
    }
    return errors.length > 0 ? err(errors) : ok({ kind: "run", values: values as SettingValues<Specs> });
}
