/**
 * Bundles each program into one file in `dist/`. `--out DIR` writes to another folder; `--only NAME` limits
 * the build to some programs.
 */

import { build } from "esbuild";
import { chmod } from "node:fs/promises";
import yargs from "yargs";

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

for (
    const [name, entryPoint] of Object.entries(programs).filter(([name]) =>
        only === undefined || only.includes(name)
    )
) {
    const outfile = `${out}/${name}.js`;
    await build({
        entryPoints: [entryPoint],
        outfile,
        bundle: true,
        minify: true,
        platform: "node",
        format: "esm",
        target: "node20",
        external: ["unix-dgram"],
        define: { "process.env.MAGNOLIALOCK_TEST_BUILD": '"false"' },
        banner: {
            js: '#!/usr/bin/env node\nimport { createRequire as __createRequire } from "node:module";'
                + "const require = __createRequire(import.meta.url);",
        },
    });
    await chmod(outfile, 0o755);
    console.log(`built ${outfile}`);
}
