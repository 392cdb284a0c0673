import test from "ava";
import { waitForStopSignal } from "../processRuntime.ts";

test("a second stop signal does not end a draining process", async t => {
    const stopped = waitForStopSignal();
    process.emit("SIGTERM", "SIGTERM");
    t.is(await stopped, "SIGTERM");
    t.true(process.listenerCount("SIGTERM") > 0);
    t.true(process.listenerCount("SIGINT") > 0);
});
