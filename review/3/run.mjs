/** A request on a kept channel, sent after the signal to stop, is passed on and then cut off. */

import { hasTrouble, runCase } from "../lib/case.mjs";
import { Channel, describe } from "../lib/client.mjs";
import {
    BOUNDS,
    configuration,
    drawPorts,
    entrySettings,
    isReady,
    newHost,
    Programs,
    sleep,
    Store,
    until,
} from "../lib/platform.mjs";
import { Replica, sendStream } from "../lib/replica.mjs";

/** The first stream begins before the signal and ends this long after it. */
const FIRST_END_MS = 3_600;
const EVENTS = 50;
/** Pauses between the events of the streams: the other client's stream lasts 6.5 s, within the grace period. */
const GAPS_MS = { "/draft/first": 80, "/draft/other": 130, "/draft/second": 100 };

await runCase(import.meta.dirname, async (record, onEnd) => {
    const store = await new Store().listen();
    onEnd(() => store.close());
    const replica = await new Replica(
        "i-1",
        run => sendStream(run, { events: EVENTS, gapMs: GAPS_MS[run.run.path] }),
        record,
    ).listen();
    onEnd(() => replica.close());
    store.put(
        "op/config",
        configuration(1, {
            routes: [{
                name: "r-1",
                prefix: "/draft/",
                kind: "streaming",
                service: "drafting",
                target_gap_ms: 500,
            }],
            services: [{ name: "drafting" }],
            tenants: [{ name: "desk", api_keys: ["key-1"], priority: 1 }],
        }),
    );
    store.put("servers/i-1", replica.entry("drafting"));

    const programs = await new Programs(record).open();
    onEnd(() => programs.close());
    const hosts = [newHost()];
    const ports = await drawPorts(hosts[0]);
    const settings = await entrySettings("frontend-a-1", { hosts, index: 0, ports, store: store.address });
    const entry = await programs.start("entry", "frontend-a-1", settings);
    await until("the entry is ready", () => isReady(hosts[0], ports.readiness));

    const openChannel = async () => {
        const channel = await Channel.open(hosts[0], ports.frontend);
        onEnd(() => channel.close());
        return channel;
    };
    const channel = await openChannel();
    const otherChannel = await openChannel();
    const ask = async (channel, id, path) => {
        record(`client sends request ${id}, POST ${path}`);
        const sentMs = Date.now();
        const answer = await channel.send({
            path,
            headers: {
                Host: "desk.example",
                "X-Request-Id": id,
                "X-Request-Deadline": "8000",
                "X-Credential": "key-1",
                "X-Model": "m",
            },
            body: "draft",
        });
        record(`client: request ${id} ended after ${Date.now() - sentMs} ms: ${describe(answer)}`);
        return { sentMs, answer };
    };
    const first = ask(channel, "a1", "/draft/first");
    await sleep(EVENTS * GAPS_MS["/draft/first"] - FIRST_END_MS);
    const other = ask(otherChannel, "b1", "/draft/other");
    await sleep(100);
    const stopMs = Date.now();
    if (hasTrouble) {
        record("the platform sends SIGTERM to frontend-a-1");
        entry.kill("SIGTERM");
    }
    const { answer: firstAnswer } = await first;
    if (!firstAnswer.isComplete) {
        throw new Error("the first stream is not complete");
    }
    if (firstAnswer.headers.connection === "close" || channel.end) {
        record("the entry has closed the channel after the first answer; the client does not use it again");
        return false;
    }
    const { answer, sentMs } = await ask(channel, "a2", "/draft/second");
    const afterStopMs = sentMs - stopMs;
    const wasPassedOn = replica.runs.some(({ id }) => id === "a2");
    record(
        `request a2 was sent ${afterStopMs} ms after the signal; it was ${
            wasPassedOn ? "" : "not "
        }passed on`,
    );
    const { answer: otherAnswer } = await other;
    record(`request b1, sent before the signal, is ${otherAnswer.isComplete ? "" : "not "}complete`);
    await sleep(500);
    const graceMs = (BOUNDS.grace_period_s + 1) * 1_000;
    const isPlannedWork = hasTrouble && afterStopMs <= graceMs && afterStopMs > 3_000;
    return isPlannedWork && wasPassedOn && !answer.isComplete;
});
