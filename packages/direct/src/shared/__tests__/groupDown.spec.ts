import test from "ava";
import { DirectFixture, DRAFTS, NAMES } from "./directFixture.ts";

const IDS = ["a", "bb", "ccc"];

/** The group waits for a rank: a server names another one as the reason. */
const downFixture = async (): Promise<DirectFixture> => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, ...IDS);
    const { done } = fixture.send("draft");
    (await fixture.latest()).refuse({ [NAMES.faultServer]: "missing" });
    await fixture.settle(done);
    return fixture;
};

test.serial("while the group is down, requests are refused at once and reach no server", async t => {
    const fixture = await downFixture();
    t.is(fixture.arrived.length, 1);
    for (let request = 0; request < 5; request++) {
        const { done, reply } = fixture.send("draft");
        await fixture.settle(done);
        t.is(reply.status, 503);
        const returnS = Number(reply.header("retry-after"));
        t.true(returnS > 1.5 && returnS <= 8 / 3);
    }
    t.is(fixture.clock.nowMs(), 0);
    t.is(fixture.arrived.length, 1);
});

test.serial("returns are spread", async t => {
    const fixture = await downFixture();
    const returns = new Set<string | undefined>();
    for (let request = 0; request < 10; request++) {
        const { done, reply } = fixture.send("draft");
        await fixture.settle(done);
        returns.add(reply.header("retry-after"));
    }
    t.true(returns.size >= 9);
});

test.serial("one request now and then finds out that the group is back", async t => {
    const fixture = await downFixture();
    await fixture.clock.advance(1_000);
    const probe = fixture.send("draft");
    const refused = fixture.send("draft");
    await fixture.settle(refused.done);
    t.is(refused.reply.status, 503);
    (await fixture.latest()).startStream().events(1, 1);
    const next = fixture.send("draft");
    (await fixture.latest()).startStream().events(1, 2).complete();
    await fixture.settle(next.done);
    t.is(next.reply.state, "ended");
    fixture.arrived[1]?.complete();
    await fixture.settle(probe.done);
});

test.serial("a stream under way waits for its group as long as its caller does", async t => {
    const fixture = new DirectFixture();
    fixture.addServers(DRAFTS, ...IDS);
    const { done, reply } = fixture.send("draft");
    (await fixture.latest()).startStream().events(1, 3);
    const other = fixture.send("draft");
    (await fixture.latest()).refuse({ [NAMES.faultServer]: "missing" });
    await fixture.settle(other.done);
    fixture.arrived[0]?.breakUp();
    await fixture.clock.advance(600);
    const resumed = fixture.arrived.at(-1);
    t.is(resumed?.header(NAMES.lastEventId), "3");
    resumed?.startStream().events(4, 5).complete();
    await fixture.settle(done);
    t.is(reply.state, "ended");
});

test.serial("it is broken off before its caller gives up", async t => {
    const fixture = await downFixture();
    const { context } = fixture;
    context.service(DRAFTS).group.noteUp();
    const { done, reply } = fixture.send("draft");
    (await fixture.latest()).startStream().events(1, 3);
    context.service(DRAFTS).group.noteDown("missing");
    fixture.arrived.at(-1)?.breakUp();
    const attempts = fixture.arrived.length;
    for (let step = 0; step < 50 && reply.state === "open"; step++) {
        await fixture.clock.advance(50);
        fixture.arrived.slice(attempts).forEach(call => call.refuse({ [NAMES.faultServer]: "missing" }));
    }
    await fixture.settle(done);
    t.is(reply.state, "broken");
    t.true(fixture.clock.nowMs() <= 2_000);
});
