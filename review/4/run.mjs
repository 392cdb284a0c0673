/** An entry is killed while it passes on a stream without a length: the client's answer looks complete. */

import { hasTrouble, runCase } from "../lib/case.mjs";
import { Channel, describe } from "../lib/client.mjs";
import {
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

/** Seven entries in three zones, as on the site; one of them is killed. */
const NAMES = [
    "frontend-a-1",
    "frontend-a-2",
    "frontend-a-3",
    "frontend-b-1",
    "frontend-b-2",
    "frontend-c-1",
    "frontend-c-2",
];
const EVENTS = 28;
const GAP_MS = 60;

await runCase(import.meta.dirname, async (record, onEnd) => {
    const store = await new Store().listen();
    onEnd(() => store.close());
    const replica = await new Replica(
        "i-1",
        run => sendStream(run, { events: EVENTS, gapMs: GAP_MS, isFramed: false }),
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
                target_gap_ms: 120,
            }],
            services: [{ name: "drafting" }],
            tenants: [{ name: "desk", api_keys: ["key-1"], priority: 1 }],
        }),
    );
    store.put("servers/i-1", replica.entry("drafting"));

    const programs = await new Programs(record).open();
    onEnd(() => programs.close());
    const hosts = NAMES.map(newHost);
    const ports = await drawPorts(hosts[0]);
    const entries = [];
    for (const [index, name] of NAMES.entries()) {
        const zone = `zone-${name.split("-")[1]}`;
        const settings = await entrySettings(name, { hosts, index, ports, store: store.address, zone });
        entries.push(await programs.start("entry", name, settings));
    }
    const [entry] = entries;
    await Promise.all(hosts.map(host => until("the entries are ready", () => isReady(host, ports.readiness))));

    const channel = await Channel.open(hosts[0], ports.frontend);
    onEnd(() => channel.close());
    record("client sends request a1, POST /draft/note");
    const asked = channel.send({
        path: "/draft/note",
        headers: {
            Host: "desk.example",
            "X-Request-Id": "a1",
            "X-Request-Deadline": "8000",
            "X-Credential": "key-1",
            "X-Model": "m",
        },
        body: "draft",
    });
    await sleep(EVENTS * GAP_MS / 2);
    if (hasTrouble) {
        record("the process frontend-a-1 is killed (SIGKILL)");
        entry.kill("SIGKILL");
    }
    const answer = await asked;
    record(`client: request a1 ended: ${describe(answer)}`);
    const pieces = [...answer.body.toString().matchAll(/^id: (\d+)$/gm)].length;
    record(`the answer has ${pieces} of ${EVENTS} pieces`);
    await sleep(200);
    if (!hasTrouble && (pieces < EVENTS || !answer.isComplete)) {
        throw new Error("the stream is not complete although nothing disturbed it");
    }
    return answer.status === 200 && answer.isComplete && pieces < EVENTS;
});
