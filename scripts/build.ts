/**
 * Bundles each program into one file below `dist/`.
 */

import { build } from "esbuild";
import { chmod } from "node:fs/promises";

const programs = {
    "magnolialock-entry": "packages/entry/src/node/entryMain.ts",
    "magnolialock-agent": "packages/agent/src/node/agentMain.ts",
    magnolialock: "packages/cli/src/node/cliMain.ts",
    "magnolialock-lab": "packages/lab/src/node/labMain.ts",
};

for (const [name, entryPoint] of Object.entries(programs)) {
    const outfile = `dist/${name}.js`;
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
