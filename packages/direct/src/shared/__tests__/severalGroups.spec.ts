import test from "ava";
import { GroupDirectory } from "../groupDirectory.ts";
import { configuration, DirectFixture, DRAFTS, NAMES, ORDERS, serviceSpec } from "./directFixture.ts";

const LIMITS = { sets: 1, experts: 4, placesPerRank: 2, newPerPreparation: 1, copyMs: 10 };

/** Two groups of two servers. */
const GROUPS: Readonly<Record<string, string>> = { a: "left", bb: "left", ccc: "right", dddd: "right" };

const createFixture = (): DirectFixture => {
    const drafts = serviceSpec(DRAFTS, { engine: { experts: LIMITS, timing: undefined } });
    const fixture = new DirectFixture(configuration({ services: [serviceSpec(ORDERS), drafts] }));
    fixture.addServers(DRAFTS, ...Object.keys(GROUPS));
    return fixture;
};

const nameGroups = (fixture: DirectFixture): void => {
    for (const server of fixture.directory.all()) {
        server.groupName = GROUPS[server.entry.id];
    }
};

test.serial("a group that lacks a rank does not stop requests to the other groups", async t => {
    const fixture = createFixture();
    nameGroups(fixture);
    const { done, reply } = fixture.send("draft");
    const first = await fixture.latestAttempt();
    const downGroup = GROUPS[first.server];
    first.refuse({ [NAMES.refusingServer]: "missing" });
    (await fixture.latestAttempt()).startStream().sendEvents(1, 2).complete();
    await fixture.runUntilSettled(done);
    t.is(reply.state, "ended");
    for (let request = 0; request < 10; request++) {
        const next = fixture.send("draft");
        const attempt = await fixture.latestAttempt();
        t.not(GROUPS[attempt.server], downGroup);
        attempt.startStream().sendEvents(1, 2).complete();
        await fixture.runUntilSettled(next.done);
        t.is(next.reply.state, "ended");
    }
});

test.serial("a stream that breaks off is resumed in another group", async t => {
    for (let round = 0; round < 8; round++) {
        const fixture = createFixture();
        nameGroups(fixture);
        const { done } = fixture.send("draft");
        const first = (await fixture.latestAttempt()).startStream().sendEvents(1, 2);
        first.breakConnection();
        const second = await fixture.latestAttempt();
        t.not(GROUPS[second.server], GROUPS[first.server]);
        second.startStream().sendEvents(3, 4).complete();
        await fixture.runUntilSettled(done);
    }
});

test.serial("requests are refused at once when all groups are down", async t => {
    const fixture = createFixture();
    nameGroups(fixture);
    const { groups } = fixture.context.service(DRAFTS);
    groups.named("left").markDown("missing");
    groups.named("right").markDown("missing");
    const { done, reply } = fixture.send("draft");
    await fixture.runUntilSettled(done);
    t.is(reply.status, 503);
    t.is(fixture.attempts.length, 0);
});

test.serial("slots of a group that is down do not count as free", async t => {
    const fixture = createFixture();
    nameGroups(fixture);
    const { admissionQueue, groups } = fixture.context.service(DRAFTS);
    groups.named("left").markDown("missing");
    const replies = Array.from({ length: 40 }, () => fixture.send("draft"));
    await fixture.latestAttempt();
    // Sixteen slots are left, and a few requests wait at the servers for the next pass.
    t.true(admissionQueue.running <= 18, `${admissionQueue.running} of ${replies.length}`);
});

test.serial("the agents beside the servers tell the groups, and when one runs again", async t => {
    const fixture = createFixture();
    let epoch = 1;
    let isOpen = true;
    let reads = 0;
    using directory = new GroupDirectory(fixture.context, async ({ id }) => {
        reads++;
        return { name: GROUPS[id], isOpen, epoch };
    });
    void directory.run();
    await fixture.clock.advance(1_000);
    for (const server of fixture.directory.all()) {
        t.is(server.groupName, GROUPS[server.entry.id]);
    }
    t.is(reads, 4);
    const left = fixture.context.service(DRAFTS).groups.named("left");
    left.markDown("missing");
    // The servers have not noticed yet that a rank is missing; then they wait for it.
    await fixture.clock.advance(600);
    isOpen = false;
    await fixture.clock.advance(1_400);
    t.true(left.isDown);
    t.true(reads <= 4 + 5);
    isOpen = true;
    epoch = 2;
    await fixture.clock.advance(600);
    t.false(left.isDown);
});

test.serial("servers that say their group is open although it refuses are believed after a while", async t => {
    const fixture = createFixture();
    using directory = new GroupDirectory(fixture.context, async ({ id }) => ({
        name: GROUPS[id],
        isOpen: true,
        epoch: 1,
    }));
    void directory.run();
    await fixture.clock.advance(1_000);
    const left = fixture.context.service(DRAFTS).groups.named("left");
    left.markDown("missing");
    await fixture.clock.advance(2_000);
    t.true(left.isDown);
    await fixture.clock.advance(1_500);
    t.false(left.isDown);
});

test.serial("a server of an unknown group gets no requests while a group waits for a rank", async t => {
    const fixture = createFixture();
    nameGroups(fixture);
    const { groups } = fixture.context.service(DRAFTS);
    groups.named("left").markDown("missing");
    groups.named("right").markDown("missing");
    fixture.addServers(DRAFTS, "eeeee");
    const { done, reply } = fixture.send("draft");
    await fixture.runUntilSettled(done);
    t.is(reply.status, 503);
    t.is(fixture.attempts.length, 0);
});

test.serial("an agent that does not answer leaves the group unknown until a later read", async t => {
    const fixture = createFixture();
    let isReachable = false;
    using directory = new GroupDirectory(fixture.context, async ({ id }) => {
        if (!isReachable) {
            throw new Error("unreachable");
        }
        return { name: GROUPS[id], isOpen: true, epoch: 1 };
    });
    void directory.run();
    await fixture.clock.advance(1_000);
    t.true([...fixture.directory.all()].every(({ groupName }) => groupName === undefined));
    isReachable = true;
    await fixture.clock.advance(5_000);
    t.true([...fixture.directory.all()].every(({ entry, groupName }) => groupName === GROUPS[entry.id]));
});

test.serial("a group that has stalled gets no more requests before it refuses any", async t => {
    const fixture = createFixture();
    nameGroups(fixture);
    const first = fixture.send("draft");
    const stalled = (await fixture.latestAttempt()).startStream().sendEvents(1, 1);
    await fixture.clock.advance(400);
    for (let request = 0; request < 10; request++) {
        const { done } = fixture.send("draft");
        const attempt = await fixture.latestAttempt();
        t.not(GROUPS[attempt.server], GROUPS[stalled.server]);
        attempt.startStream().sendEvents(1, 1).complete();
        await fixture.runUntilSettled(done);
    }
    stalled.sendEvents(2, 2);
    const usedGroups = new Set<string | undefined>();
    for (let request = 0; request < 20; request++) {
        const { done } = fixture.send("draft");
        const attempt = await fixture.latestAttempt();
        usedGroups.add(GROUPS[attempt.server]);
        attempt.startStream().sendEvents(1, 1).complete();
        await fixture.runUntilSettled(done);
    }
    t.is(usedGroups.size, 2);
    stalled.complete();
    await fixture.runUntilSettled(first.done);
});
