import { execFile } from "node:child_process";
import { existsSync, mkdirSync, mkdtempSync, readdirSync, rmSync, symlinkSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";

const run = promisify(execFile);

/** Root of the repository, relative to the bundled soak (`dist/`) or to this source file. */
const REPOSITORY = ["..", "../.."]
    .map(path => new URL(path, import.meta.url).pathname)
    .find(path => existsSync(join(path, "package.json"))) ?? "";
const MODULES = "node_modules";
/** Scope of the repository's own packages, which are those of the commit; all others are the installed ones. */
const OWN_SCOPE = "@heatherline";

/** The gateway of another commit of the repository, built in a temporary folder. */
export interface OldBuild {
    /** Path of the gateway's bundle. */
    readonly program: string;
    /** Removes the folder. */
    remove(): void;
}

/**
 * Builds the gateway of a commit with the libraries that are installed now.
 *
 * @param commit - Hash or name of the commit.
 * @returns The build.
 * @throws Error if the commit isn't in the history, as in a shallow clone, or can't be built.
 */
export async function buildGateway(commit: string): Promise<OldBuild> {
    const hash = await resolveCommit(commit);
    const folder = mkdtempSync(join(tmpdir(), `heatherline-${hash.slice(0, 8)}-`));
    const remove = () => rmSync(folder, { recursive: true, force: true });
    try {
        const sources = join(folder, "sources");
        mkdirSync(sources);
        await writeSources(hash, join(folder, "index"), sources);
        linkModules(sources);
        await run(process.execPath, ["tools/buildTarget.mjs"], { cwd: sources });
        return { program: join(sources, "target", "gateway.cjs"), remove };
    }
    catch (error) {
        remove();
        throw error;
    }
}

async function resolveCommit(commit: string): Promise<string> {
    try {
        const { stdout } = await run("git", ["rev-parse", "--verify", "--end-of-options", `${commit}^{commit}`], {
            cwd: REPOSITORY,
        });
        return stdout.trim();
    }
    catch (error) {
        throw new Error(
            `commit ${commit} can't be built: it isn't in the history of ${REPOSITORY}, which may be a shallow clone`,
            { cause: error },
        );
    }
}

/** An index of its own leaves that of the working copy as it is. */
async function writeSources(hash: string, indexPath: string, folder: string): Promise<void> {
    const options = { cwd: REPOSITORY, env: { ...process.env, GIT_INDEX_FILE: indexPath } };
    await run("git", ["read-tree", hash], options);
    await run("git", ["checkout-index", "--all", `--prefix=${folder}/`], options);
}

function linkModules(folder: string): void {
    const ownScope = join(folder, MODULES, OWN_SCOPE);
    mkdirSync(ownScope, { recursive: true });
    for (const name of readdirSync(join(folder, "packages"))) {
        symlinkSync(join(folder, "packages", name), join(ownScope, name));
    }
    for (const name of readdirSync(join(REPOSITORY, MODULES))) {
        if (name !== OWN_SCOPE && !name.startsWith(".")) {
            symlinkSync(join(REPOSITORY, MODULES, name), join(folder, MODULES, name));
        }
    }
}
