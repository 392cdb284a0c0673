import test from "ava";
import { execFile } from "node:child_process";
import { join } from "node:path";

const PROGRAM = join(import.meta.dirname, "guardedProgram.ts");

const run = (...args: readonly string[]): Promise<{ readonly code: unknown; readonly output: string; }> =>
    new Promise(resolve => {
        execFile(
            process.execPath,
            ["--import=tsx", PROGRAM, ...args],
            (error, output) => resolve({ code: error?.code ?? 0, output }),
        );
    });

test("errors that escape timers and tasks are logged and do not end a guarded process", async t => {
    const { code, output } = await run("--guarded");
    t.is(code, 0);
    t.true(output.includes("process.unexpected"));
    t.true(output.includes("still running"));
});

test("without the guard, an error that escapes a timer ends the process", async t => {
    const { code, output } = await run();
    t.is(code, 1);
    t.false(output.includes("still running"));
});
