import { seedFaults } from "@magnolialock/kernel";
import test from "ava";
import { EventStreamSplitter } from "../eventStreamSplitter.ts";
import { DirectFixture, DRAFTS, NAMES } from "./directFixture.ts";

const withDrafts = (): DirectFixture => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, "a", "b", "c");
    return fixture;
};

const idsOf = (text: string): number[] => [...text.matchAll(/id: (\d+)/g)].map(match => Number(match[1]));

test.serial("a stream is resumed at another server after its last complete event", async t => {
    const fixture = withDrafts();
    const { done, reply } = fixture.send("draft");
    const first = await fixture.latestAttempt();
    first.startStream().sendEvents(1, 4).sendData("id: 5\nda").breakConnection();
    const second = await fixture.latestAttempt();
    t.not(second.server, first.server);
    t.is(second.header(NAMES.lastEventId), "4");
    second.sendHead(200, { "content-type": "text/event-stream", [NAMES.signature]: "other" }).sendEvents(5, 7)
        .complete();
    await fixture.runUntilSettled(done);
    t.deepEqual(idsOf(reply.text), [1, 2, 3, 4, 5, 6, 7]);
    t.is(reply.header(NAMES.signature), "signed");
    t.is(reply.state, "ended");
});

test.serial("an event out of sequence is not forwarded", async t => {
    for (const next of [3, 6]) {
        const fixture = withDrafts();
        const { done, reply } = fixture.send("draft");
        (await fixture.latestAttempt()).startStream().sendEvents(1, 4).sendEvents(next, next);
        (await fixture.latestAttempt()).startStream().sendEvents(5, 5).complete();
        await fixture.runUntilSettled(done);
        t.deepEqual(idsOf(reply.text), [1, 2, 3, 4, 5]);
    }
});

test.serial("without the check, an event out of sequence is forwarded", async t => {
    using _fault = seedFaults(["direct.skip-event-order"]);
    const fixture = withDrafts();
    const { done, reply } = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 4).sendEvents(6, 6).complete();
    await fixture.runUntilSettled(done);
    t.deepEqual(idsOf(reply.text), [1, 2, 3, 4, 6]);
});

test.serial("a stream that cannot be resumed is aborted, never ended as complete", async t => {
    const fixture = withDrafts();
    const { done, reply } = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 2).breakConnection();
    (await fixture.latestAttempt()).startStream().sendEvents(3, 4).breakConnection();
    await fixture.runUntilSettled(done);
    t.is(fixture.attempts.length, 2);
    t.is(reply.state, "broken");
});

test.serial("a stream that ends within an event is not complete", async t => {
    const fixture = withDrafts();
    const { done, reply } = fixture.send("draft");
    (await fixture.latestAttempt()).startStream().sendEvents(1, 2).sendData("id: 3\n").complete();
    (await fixture.latestAttempt()).startStream().sendEvents(3, 3).complete();
    await fixture.runUntilSettled(done);
    t.deepEqual(idsOf(reply.text), [1, 2, 3]);
});

test.serial("a stream without events has the head and the signature of its server", async t => {
    const fixture = withDrafts();
    const { done, reply } = fixture.send("draft", { [NAMES.lastEventId]: "12" });
    (await fixture.latestAttempt()).startStream().complete();
    await fixture.runUntilSettled(done);
    t.is(reply.status, 200);
    t.is(reply.header(NAMES.signature), "signed");
    t.is(reply.state, "ended");
});

test.serial("a caller's own resume position is forwarded", async t => {
    const fixture = withDrafts();
    const { done } = fixture.send("draft", { [NAMES.lastEventId]: "12" });
    const call = await fixture.latestAttempt();
    t.is(call.header(NAMES.lastEventId), "12");
    call.startStream().sendEvents(13, 14).complete();
    await fixture.runUntilSettled(done);
});

test("events are split correctly whatever the chunk size", t => {
    const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nx-version: 3\nid: 3\ndata: c\n\n";
    for (let size = 1; size < 20; size++) {
        const splitter = new EventStreamSplitter();
        const ids: (number | undefined)[] = [];
        let joined = "";
        for (let start = 0; start < text.length; start += size) {
            for (const event of splitter.push(Buffer.from(text.slice(start, start + size)))) {
                ids.push(event.id);
                joined += event.bytes.toString();
            }
        }
        t.deepEqual(ids, [1, 2, 3]);
        t.is(joined, text);
        t.is(splitter.pendingBytes, 0);
    }
});
