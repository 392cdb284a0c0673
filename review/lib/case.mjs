/** Frame of a script: its record, its time limit and its exit code. */

import { writeFileSync } from "node:fs";
import { join } from "node:path";

const LIMIT_MS = 110_000;

/** Whether the script shall cause the disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

/**
 * Runs a script. Exits with 1 if `play` returns true (the rule was broken), 0 if it returns false, 2 if it throws.
 *
 * @param folder - folder of the case, for its record
 * @param play - gets the function that writes a line of the record, and a function that registers a clean-up
 */
export const runCase = async (folder, play) => {
    const startMs = Date.now();
    const lines = [];
    const record = text => lines.push(`${String(Date.now() - startMs).padStart(6)} ms  ${text}`);
    const cleanups = [];
    record(hasTrouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    const timeout = new Promise((_, reject) => {
        setTimeout(() => reject(new Error("the script took too long")), LIMIT_MS).unref();
    });
    let code = 2;
    try {
        code = await Promise.race([play(record, cleanup => cleanups.push(cleanup)), timeout]) ? 1 : 0;
    }
    catch (error) {
        record(`the case could not run: ${error.stack ?? error}`);
    }
    for (const cleanup of cleanups.reverse()) {
        await Promise.resolve().then(cleanup).catch(error => record(`clean-up: ${error}`));
    }
    record(`result: ${["the rule held", "the rule was broken", "the case could not run"][code]}`);
    writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    console.log(lines.at(-1));
    process.exit(code);
};
