/** The programs that get a code cache. */

import type { RecordedProgram } from "./recordCodeCache.ts";

/** The programs with a code cache by name; a test compares the flags with `deploy/system.toml`. */
export const CACHED_PROGRAMS: ReadonlyMap<string, RecordedProgram> = new Map([
    ["magnolialock-platform-entry", {
        role: "entry",
        flags: ["--optimize-for-size", "--max-semi-space-size=2", "--max-old-space-size=160"],
    }],
    ["magnolialock-platform-rank", {
        role: "rank",
        flags: ["--optimize-for-size", "--max-semi-space-size=1", "--max-old-space-size=100"],
    }],
]);
