/**
 * Builds a program whose start is cheap: a bundle as a classic script, a code cache of V8 for it, and a loader.
 * See `docs/design/process-start.md`.
 */

import { build, type BuildOptions, type Plugin, transform } from "esbuild";
import { chmod, mkdtemp, readFile, rename, rm, writeFile } from "node:fs/promises";
import { builtinModules } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { recordCodeCache, type RecordedProgram } from "./recordCodeCache.ts";

const LOADER = join(import.meta.dirname, "loader.ts");
const UNDICI_SUBSET = join(import.meta.dirname, "undiciSubset.ts");
const BUILTIN_NAMESPACE = "builtin";

/**
 * Imports modules of Node.js through `require`, so that the bundle has no import statements: a classic script
 * cannot contain them.
 */
const requireBuiltins: Plugin = {
    name: "require-builtins",
    setup: ({ onLoad, onResolve }) => {
        onResolve({ filter: /.*/ }, ({ kind, namespace, path }) => {
            if (namespace === BUILTIN_NAMESPACE) {
                return { path, external: true };
            }
            const name = path.replace(/^node:/, "");
            return kind !== "require-call" && builtinModules.includes(name)
                ? { path: `node:${name}`, namespace: BUILTIN_NAMESPACE }
                : undefined;
        });
        onLoad({ filter: /.*/, namespace: BUILTIN_NAMESPACE }, ({ path }) => ({
            contents: `module.exports = require(${JSON.stringify(path)});`,
        }));
    },
};

/** Bundles only the part of undici that the programs use. */
const useUndiciSubset: Plugin = {
    name: "undici-subset",
    setup: ({ onResolve }) => {
        onResolve({ filter: /^undici$/ }, () => ({ path: UNDICI_SUBSET }));
    },
};

/**
 * Evaluates `string-width` at its first call: it measures the columns of `--help`, and evaluating it compiles a
 * regular expression of all emoji, which takes 23 ms of every start.
 */
const evaluateStringWidthLate: Plugin = {
    name: "string-width-late",
    setup: ({ onLoad, onResolve, resolve: resolvePath }) => {
        const namespace = "late";
        onResolve({ filter: /^string-width$/ }, async ({ importer, kind, pluginData, resolveDir }) => {
            if (pluginData === namespace) {
                return undefined;
            }
            const { path } = await resolvePath("string-width", {
                importer,
                kind,
                resolveDir,
                pluginData: namespace,
            });
            return { path, namespace };
        });
        onLoad({ filter: /.*/, namespace }, ({ path }) => ({
            contents: `export default (...args) => require(${JSON.stringify(path)}).default(...args);`,
            resolveDir: dirname(path),
        }));
    },
};

/**
 * Builds the loader of a bundle.
 *
 * @param recordedBundle - bundle whose code cache the loader records; empty for a released loader
 */
const buildLoader = async (recordedBundle: string): Promise<string> => {
    const { code } = await transform(await readFile(LOADER, "utf8"), {
        loader: "ts",
        format: "esm",
        minify: true,
        target: "node20",
        define: { RECORDED_BUNDLE: JSON.stringify(recordedBundle) },
    });
    return code;
};

/**
 * Builds one program: `outfile` is its loader, the bundle and the code cache lie beside it.
 *
 * @param outfile - path of the program
 * @param options - options of the bundler
 * @param program - how to run the program to fill the cache
 */
export const buildCachedProgram = async (
    outfile: string,
    options: BuildOptions,
    program: RecordedProgram,
): Promise<void> => {
    const { outputFiles } = await build({
        ...options,
        outfile,
        write: false,
        // The bundler offers no classic script with top-level await, so the wrapper below adds what is missing.
        format: "esm",
        charset: "ascii",
        supported: { "dynamic-import": false },
        define: { ...options.define, "import.meta": "importMeta" },
        plugins: [...options.plugins ?? [], requireBuiltins, useUndiciSubset, evaluateStringWidthLate],
    });
    const bundle = resolve(`${outfile}.bundle`);
    const cache = `${bundle}.cache`;
    await rm(cache, { force: true });
    await writeFile(bundle, `(async(require,importMeta)=>{${outputFiles?.[0]?.text ?? ""}\n})`);
    await writeFile(outfile, `#!/usr/bin/env node\n${await buildLoader("")}`);
    await chmod(outfile, 0o755);

    const folder = await mkdtemp(join(tmpdir(), "code-cache-"));
    try {
        const recorder = join(folder, "recorder.cjs");
        await writeFile(recorder, await buildLoader(bundle));
        await writeFile(`${cache}.tmp`, await recordCodeCache(recorder, folder, program));
        await rename(`${cache}.tmp`, cache);
    }
    catch (error) {
        console.warn(`${outfile} starts without a code cache, which takes longer: ${String(error)}`);
    }
    finally {
        await rm(folder, { recursive: true });
    }
};
