/**
 * Bundles each program into one file in `dist/`. `--out DIR` writes to another folder; `--only NAME` limits
 * the build to some programs. The programs of the platform get a code cache, see
 * `docs/design/process-start.md`.
 */

import { build, type BuildOptions, type Plugin } from "esbuild";
import { access, chmod, mkdir, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import yargs from "yargs";
import { buildCachedProgram } from "./programs/cachedBundle.ts";
import { CACHED_PROGRAMS } from "./programs/cachedPrograms.ts";

const programs = {
    "magnolialock-entry": "packages/entry/src/node/entryMain.ts",
    "magnolialock-agent": "packages/agent/src/node/agentMain.ts",
    magnolialock: "packages/cli/src/node/cliMain.ts",
    "magnolialock-lab": "packages/lab/src/node/labMain.ts",
    "magnolialock-platform-entry": "platform/src/platformEntryMain.ts",
    "magnolialock-platform-rank": "platform/src/platformRankMain.ts",
};

const { out, only } = await yargs(process.argv.slice(2))
    .option("out", { type: "string", default: "dist", description: "Folder to write the bundles to" })
    .option("only", {
        type: "string",
        array: true,
        description: "Names of the programs to build; all by default",
    })
    .strict()
    .parse();

const exists = (path: string): Promise<boolean> => access(path).then(() => true, () => false);

const ASSERTIONS = join(import.meta.dirname, "assertions.cjs");

/** Replaces the assertions of the libraries, see `assertions.cjs`. */
const replaceAssertions: Plugin = {
    name: "replace-assertions",
    setup: ({ onResolve }) => {
        onResolve(
            { filter: /^(node:)?assert$/ },
            ({ importer, path }) => importer === ASSERTIONS ? { path, external: true } : { path: ASSERTIONS },
        );
    },
};

await mkdir(out, { recursive: true });
for (
    const [name, entryPoint] of Object.entries(programs).filter(([name]) =>
        only === undefined || only.includes(name)
    )
) {
    const outfile = `${out}/${name}.js`;
    const options: BuildOptions = {
        entryPoints: [entryPoint],
        bundle: true,
        minify: true,
        platform: "node",
        target: "node20",
        external: ["unix-dgram"],
        plugins: [replaceAssertions],
        define: { "process.env.MAGNOLIALOCK_TEST_BUILD": '"false"' },
    };
    const cachedProgram = CACHED_PROGRAMS.get(name);
    if (cachedProgram) {
        await buildCachedProgram(outfile, options, cachedProgram);
    }
    else {
        await build({
            ...options,
            outfile,
            format: "esm",
            banner: {
                js: '#!/usr/bin/env node\nimport { createRequire as __createRequire } from "node:module";'
                    + "const require = __createRequire(import.meta.url);",
            },
        });
        await chmod(outfile, 0o755);
    }
    console.log(`built ${outfile}`);
}

// Loaders run as both kinds of module, and the loader of ES modules costs about 15 ms of a start. The other
// programs are ES modules, as the package.json of the repository says.
const hasModules = await Promise.all(
    Object.keys(programs).filter(name => !CACHED_PROGRAMS.has(name)).map(name => exists(`${out}/${name}.js`)),
);
const packageFile = `${out}/package.json`;
await (hasModules.includes(true)
    ? rm(packageFile, { force: true })
    : writeFile(packageFile, '{ "type": "commonjs" }\n'));
// The stand-ins of the recording may keep connections open.
process.exit();
