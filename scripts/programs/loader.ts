/**
 * Starts a bundled program with the code cache that the build has written beside it. The build compiles this file
 * to plain script code without imports, which runs as a CommonJS and as an ES module.
 *
 * A cache that is missing, damaged, of another bundle or of another version of Node.js is not used: the program
 * then starts as without it, only slower.
 */

/** Path of the bundle; empty in a released loader, whose bundle lies beside it. */
declare const RECORDED_BUNDLE: string;

const builtin = process.getBuiltinModule.bind(process);
const { readFileSync, realpathSync, writeSync } = builtin("node:fs");
const { createHash } = builtin("node:crypto");
const { Script } = builtin("node:vm");
const { createRequire } = builtin("node:module");
const { pathToFileURL } = builtin("node:url");

const HASH = "sha256";
const HASH_BYTES = 32;

const bundlePath = RECORDED_BUNDLE || `${realpathSync(process.argv[1] ?? "")}.bundle`;
const bundle = readFileSync(bundlePath);

/**
 * Hash that binds the cached data to its bundle: V8 itself compares only the length of the source, and accepts
 * data with flipped bits.
 */
const fingerprint = (data: Uint8Array): Buffer => createHash(HASH).update(bundle).update(data).digest();

const readCachedData = (): Buffer | undefined => {
    try {
        const file = readFileSync(`${bundlePath}.cache`);
        const data = file.subarray(HASH_BYTES);
        return fingerprint(data).equals(file.subarray(0, HASH_BYTES)) ? data : undefined;
    }
    catch {
        return undefined;
    }
};

const cachedData = RECORDED_BUNDLE ? undefined : readCachedData();
// The build writes bundles in ASCII.
const script = new Script(bundle.toString("latin1"), {
    filename: bundlePath,
    ...cachedData && { cachedData },
});

if (RECORDED_BUNDLE) {
    const { setFlagsFromString } = builtin("node:v8");
    // A function that has run only once, like the bundle itself, otherwise loses its bytecode before the cache is
    // written. The flag is reset because V8 stores a hash of all flags in the cache.
    setFlagsFromString("--no-flush-bytecode");
    process.on("SIGUSR2", () => {
        setFlagsFromString("--flush-bytecode");
        const data = script.createCachedData();
        writeSync(3, Buffer.concat([fingerprint(data), data]));
        process.exit();
    });
}

const run = script.runInThisContext() as (
    require: NodeJS.Require,
    meta: { readonly url: string; },
) => Promise<void>;
void run(createRequire(bundlePath), { url: pathToFileURL(bundlePath).href });
