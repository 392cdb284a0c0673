import { createSystemClock, sleep } from "@magnolialock/kernel";
import { holds, RawCaller, settles } from "@magnolialock/test-support";
import test from "ava";
import { once } from "node:events";
import { get, type IncomingMessage } from "node:http";
import { connect as connectHttp2 } from "node:http2";
import { KEY, LARGE_BYTES, requestText, startFleet } from "./entryFleet.ts";

const clock = createSystemClock();
/** Time for an answer on a busy machine, in milliseconds. */
const ANSWER_MS = 5_000;
/** A stop that has nothing to wait for takes less than this, also on a busy machine, in milliseconds. */
const QUICK_STOP_MS = 4_000;

test.serial("connections without a request do not hold up the stop of an entry", async t => {
    await using fleet = await startFleet(10_000);
    using idle = await RawCaller.connect(fleet.listen);
    idle.send(requestText("GET", "/quick"));
    t.true(await idle.receives("answer to /quick", ANSWER_MS));
    using silent = await RawCaller.connect(fleet.listen);
    using half = await RawCaller.connect(fleet.listen);
    half.send("GET /painel/quick HTTP/1.1\r\nHost: te");
    using silentHttp2 = await RawCaller.connect(fleet.listenHttp2);
    await sleep(clock, 100);
    fleet.entry.signal("SIGTERM");
    t.true(await settles(fleet.entry.exitCode(), QUICK_STOP_MS));
    t.is(await fleet.entry.exitCode(), 0);
    await Promise.all([idle.closed, silent.closed, half.closed, silentHttp2.closed]);
});

test.serial("a kept connection is not left open after a refusal by a stopping entry", async t => {
    await using fleet = await startFleet(10_000);
    using running = await RawCaller.connect(fleet.listen);
    running.send(requestText("POST", "/held/1", "Content-Length: 0\r\n"));
    t.true(await holds(() => fleet.runsOf("/held/1") === 1, ANSWER_MS));
    using kept = await RawCaller.connect(fleet.listen);
    kept.send(requestText("GET", "/quick"));
    t.true(await kept.receives("answer to /quick", ANSWER_MS));
    fleet.entry.signal("SIGTERM");
    t.true(await holds(async () => !await fleet.isReady(), ANSWER_MS));
    kept.send(requestText("POST", "/late", "Content-Length: 0\r\n"));
    t.true(await kept.receives("HTTP/1.1 503", ANSWER_MS));
    t.regex(kept.text, /x-ran: not run/);
    t.regex(kept.text, /connection: close\r\n/i);
    t.true(await settles(kept.closed, ANSWER_MS));
    fleet.backend.releaseAll();
    t.true(await running.receives("held answer", ANSWER_MS));
    t.regex(running.text, /connection: close\r\n/i);
    t.is(await fleet.entry.exitCode(), 0);
    t.is(fleet.runsOf("/late"), 0);
});

test.serial("a session of HTTP/2 is not kept by a stopping entry, and its running request is answered", async t => {
    await using fleet = await startFleet(10_000);
    const session = connectHttp2(`http://${fleet.listenHttp2}`);
    const goneAway = once(session, "goaway");
    const stream = session.request({
        ":method": "POST",
        ":path": "/painel/held/1",
        authorization: `Bearer ${KEY}`,
    });
    stream.setEncoding("utf8").end();
    t.true(await holds(() => fleet.runsOf("/held/1") === 1, ANSWER_MS));
    fleet.entry.signal("SIGTERM");
    t.true(await settles(goneAway, ANSWER_MS));
    fleet.backend.releaseAll();
    let text = "";
    for await (const chunk of stream as AsyncIterable<string>) {
        text += chunk;
    }
    t.is(text, "held answer");
    t.is(await fleet.entry.exitCode(), 0);
});

test.serial("an answer that its caller reads slowly is not cut off within the drain timeout of an entry", async t => {
    await using fleet = await startFleet(10_000);
    const headers = { authorization: `Bearer ${KEY}` };
    const [response] = await once(get(`http://${fleet.listen}/painel/large`, { headers }), "response") as [
        IncomingMessage,
    ];
    t.is(response.statusCode, 200);
    t.true(await holds(() => fleet.backend.finished.includes("/large"), ANSWER_MS));
    await sleep(clock, 500);
    fleet.entry.signal("SIGTERM");
    await sleep(clock, 3_000);
    let bytes = 0;
    response.on("error", () => {});
    response.on("data", (chunk: Buffer) => bytes += chunk.length);
    t.true(await settles(once(response, "close"), ANSWER_MS));
    t.true(response.complete);
    t.is(bytes, LARGE_BYTES);
    t.is(await fleet.entry.exitCode(), 0);
});

test.serial("a request that still runs at the drain timeout of an entry is not cut off without an answer", async t => {
    await using fleet = await startFleet(500);
    using caller = await RawCaller.connect(fleet.listen);
    caller.send(requestText("POST", "/held/1", "Content-Length: 0\r\n"));
    t.true(await holds(() => fleet.runsOf("/held/1") === 1, ANSWER_MS));
    fleet.entry.signal("SIGTERM");
    t.true(await settles(caller.closed, ANSWER_MS));
    t.regex(caller.text, /x-ran: outcome unknown/);
    t.is(await fleet.entry.exitCode(), 0);
});
