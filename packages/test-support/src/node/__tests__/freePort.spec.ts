/** Ports for processes under test, taken by several test processes at the same time. */

import test from "ava";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

/** More than ten, so that two of them have the same last digit of their process identifier. */
const PROCESSES = 11;
const PORTS_EACH = 150;
const MODULE = fileURLToPath(new URL("../freePort.ts", import.meta.url));
const PROGRAM = `
    import { findFreePort } from ${JSON.stringify(MODULE)};
    const ports = [];
    for (let index = 0; index < ${PORTS_EACH}; index++) {
        ports.push(await findFreePort());
    }
    process.send(ports);
    process.once("message", () => process.disconnect());
`;

const firstMessage = async (child: ChildProcess): Promise<readonly number[]> => {
    const [ports] = await once(child, "message") as [readonly number[]];
    return ports;
};

// Guards against EADDRINUSE in one test file because another one that runs beside it has taken the port.
test("test processes that run at the same time get different ports", async t => {
    const children = Array.from(
        { length: PROCESSES },
        () =>
            spawn(process.execPath, ["--import=tsx", "--input-type=module", "--eval", PROGRAM], {
                stdio: ["ignore", "ignore", "inherit", "ipc"],
            }),
    );
    try {
        const ports = (await Promise.all(children.map(firstMessage))).flat();
        t.is(ports.length, PROCESSES * PORTS_EACH);
        t.is(new Set(ports).size, ports.length);
        const ended = children.map(child => once(child, "exit"));
        children.forEach(child => child.send("end"));
        for (const [exitCode] of await Promise.all(ended)) {
            t.is(exitCode, 0);
        }
    }
    finally {
        children.forEach(child => child.kill());
    }
});
