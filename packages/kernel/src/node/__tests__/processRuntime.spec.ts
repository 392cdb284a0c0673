import test from "ava";
import { waitForStopSignal } from "../processRuntime.ts";

test("a second signal does not end a process that drains", async t => {
    const stopped = waitForStopSignal();
    process.emit("SIGTERM", "SIGTERM");
    t.is(await stopped, "SIGTERM");
    t.true(process.listenerCount("SIGTERM") > 0);
    t.true(process.listenerCount("SIGINT") > 0);
});
