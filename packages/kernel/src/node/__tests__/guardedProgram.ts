/** Program whose tasks fail one after the other; it prints a line once all of them have. */

import { EventLog } from "../../shared/events.ts";
import { createJsonLogSink } from "../jsonLogSink.ts";
import { guardProcess } from "../processGuard.ts";
import { createSystemClock } from "../systemClock.ts";

const clock = createSystemClock();
const sink = createJsonLogSink({ clock });
const events = new EventLog({ clock, instance: "guarded", sinks: [sink] });
const guard = process.argv.includes("--guarded") ? guardProcess({ clock, events }) : undefined;

clock.setTimer(10, () => {
    throw new Error("a timer fails");
});
clock.setTimer(20, () => void Promise.reject(new Error("a task fails")));
clock.setTimer(60, () => {
    sink.close();
    process.stdout.write("still running\n");
    guard?.[Symbol.dispose]();
});
