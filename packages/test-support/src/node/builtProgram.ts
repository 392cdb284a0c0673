/**
 * Programs as they are deployed, each bundled into one file.
 *
 * @packageDocumentation
 */

import { execFile } from "node:child_process";
import { rmSync } from "node:fs";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";

const ROOT = join(import.meta.dirname, "..", "..", "..", "..");
const programs = new Map<string, Promise<string>>();

const build = async (name: string): Promise<string> => {
    const folder = await mkdtemp(join(tmpdir(), "bundle-"));
    process.once("exit", () => rmSync(folder, { recursive: true, force: true }));
    await promisify(execFile)(
        process.execPath,
        ["--import=tsx", join(ROOT, "scripts", "build.ts"), "--out", folder, "--only", name],
        { cwd: ROOT },
    );
    return join(folder, `${name}.js`);
};

/**
 * Builds a program, once in each process; it is removed when the process ends.
 *
 * @param name - name of the program, such as `magnolialock-entry`
 * @returns path of the built file
 */
export const builtProgram = (name: string): Promise<string> => {
    const program = programs.get(name) ?? build(name);
    programs.set(name, program);
    return program;
};
