import { startControlPlane } from "@magnolialock/control";
import {
    type Address,
    branded,
    type DataCentreId,
    formatFinding,
    type InstanceId,
    MAX_DATAGRAM_BYTES,
    type Revision,
    seedFaults,
} from "@magnolialock/kernel";
import { createVirtualRuntime } from "@magnolialock/test-support";
import test from "ava";
import { ROLLOUT_FAULTS, runRollout } from "../rolloutExperiment.ts";
import { type NodeLife, RolloutFleet } from "../rolloutFleet.ts";

const RULES_BYTES = 20_000;
const IN_FORCE_LIMIT_MS = 6_000;
const BYTES_PER_S_LIMIT = 10_000;
const SETTLE_MS = 6_000;

const startFleet = async (
    revisions: number,
    accepted: number[][] = [],
    seed = 1,
): Promise<RolloutFleet> => {
    const fleet = new RolloutFleet({
        seed,
        nodes: 18,
        dataCentres: 3,
        rulesBytes: RULES_BYTES,
        onAccepted: (_life, revision) => accepted.push([revision]),
    });
    await fleet.clock.advance(SETTLE_MS);
    for (let version = 1; version <= revisions; version++) {
        fleet.platform.publish(fleet.rules.version(version));
    }
    await fleet.startAll(fleet.nodes, 1_000);
    await fleet.clock.advance(SETTLE_MS);
    return fleet;
};

const revisionsOf = (fleet: RolloutFleet): number[] => [
    ...new Set([...fleet.lives.values()].map(({ plane }) => Number(plane.store.current?.revision ?? 0))),
];

const lifeOf = (fleet: RolloutFleet, index: number): NodeLife =>
    fleet.lives.get(fleet.nodes[index]?.name ?? "") as NodeLife;

for (const fault of ROLLOUT_FAULTS) {
    test.serial(`changes reach every process in time with fault ${fault}`, async t => {
        const report = await runRollout({
            nodes: 30,
            dataCentres: 3,
            seed: 1,
            rulesBytes: RULES_BYTES,
            fault,
        });
        t.true(report.inForceMaxMs <= IN_FORCE_LIMIT_MS);
        t.is(report.missing, 0);
        t.is(report.reverts, 0);
        t.is(report.missingRejected, 0);
        t.is(report.wronglyRemoved, 0);
        t.true(report.controlBytesPerNodePerS.p99 <= BYTES_PER_S_LIMIT);
        t.true(report.newcomerReadyMs <= IN_FORCE_LIMIT_MS);
    });
}

/** Trace 5: the platform serves 9, then falls back to 7 while half of the instances are replaced. */
const replaceHalfWhileStale = async (): Promise<number[]> => {
    const accepted: number[][] = [];
    const fleet = await startFleet(9);
    fleet.platform.becomeStale({ revision: branded<Revision>(7), bytes: fleet.rules.version(7) });
    const lives: NodeLife[] = [];
    for (const node of fleet.nodes.filter((_, index) => index % 2 === 0)) {
        const life = await fleet.start(node);
        life.plane.store.onChange(({ revision }) => accepted.push([revision]));
        lives.push(life);
        await fleet.clock.advance(500);
    }
    await fleet.clock.advance(SETTLE_MS);
    return [...accepted.map(([revision]) => revision ?? 0), ...revisionsOf(fleet)];
};

test.serial("trace 5: no instance goes below 9 while the platform serves 7", async t => {
    t.deepEqual([...new Set(await replaceHalfWhileStale())], [9]);
});

test.serial("trace 5 fails when newcomers serve before they ask their peers", async t => {
    using _fault = seedFaults(["control.serve-before-asking-peers"]);
    t.true((await replaceHalfWhileStale()).includes(7));
});

/** Trace 6: 10 is rejected, the platform no longer holds 9, a new instance starts. */
const startAfterRejection = async (): Promise<NodeLife> => {
    const fleet = await startFleet(9);
    fleet.platform.publish(fleet.rules.broken());
    await fleet.clock.advance(SETTLE_MS);
    const [node] = fleet.nodes;
    const life = await fleet.start(node as NonNullable<typeof node>);
    await fleet.clock.advance(SETTLE_MS);
    return life;
};

test.serial("trace 6: a new instance runs 9 from its peers and says why 10 was rejected", async t => {
    const { plane } = await startAfterRejection();
    t.is(Number(plane.store.current?.revision), 9);
    t.is(Number(plane.store.rejected?.revision), 10);
    t.regex(
        formatFinding(plane.store.rejected?.findings[0] as never),
        /^rules:\d+:\d+: unknown rule "acount"/,
    );
});

test.serial("trace 6 fails when a rejected revision is adopted", async t => {
    using _fault = seedFaults(["control.adopt-rejected"]);
    const { plane } = await startAfterRejection();
    t.not(Number(plane.store.current?.revision ?? 0), 9);
});

test.serial("trace 14: a data centre that is replaced while the platform is down loses no revision", async t => {
    const fleet = await startFleet(9);
    fleet.platform.mode = "down";
    for (const node of fleet.nodes.filter(({ dataCentre }) => dataCentre === "dc-1")) {
        await fleet.start(node);
        await fleet.clock.advance(5_000);
    }
    await fleet.clock.advance(SETTLE_MS);
    const newest = [...fleet.lives.values()].filter(({ node }) => node.dataCentre === "dc-1");
    t.true(newest.every(({ plane }) => Number(plane.store.current?.revision) === 9));
});

test.serial("a paused process confirms its configuration right after it wakes", async t => {
    const fleet = await startFleet(1);
    const { runtime, plane } = lifeOf(fleet, 0);
    runtime.process.pause();
    fleet.platform.publish(fleet.rules.version(2));
    await fleet.clock.advance(20_000);
    const wokeAtMs = fleet.clock.nowMs();
    t.true((plane.store.confirmedAtMs ?? 0) < wokeAtMs);
    runtime.process.wake();
    await fleet.clock.advance(1_000);
    t.true((plane.store.confirmedAtMs ?? 0) >= wokeAtMs);
    t.is(Number(plane.store.current?.revision), 2);
});

test.serial("a process that is cut off removes nobody, and nobody else is removed", async t => {
    const fleet = await startFleet(1);
    const alone = lifeOf(fleet, 0);
    const heal = fleet.links.cut(
        ({ name }) => name === alone.node.name,
        ({ name }) => name !== alone.node.name,
    );
    await fleet.clock.advance(60_000);
    t.is(alone.plane.membership.deadPeers().length, 0);
    const other = lifeOf(fleet, 3);
    t.deepEqual(other.plane.membership.deadPeers().map(({ name }) => String(name)), [alone.node.name]);
    heal();
    await fleet.clock.advance(30_000);
    t.is(other.plane.membership.deadPeers().length, 0);
});

test.serial("a process that leaves is known at once, and the counts follow", async t => {
    const fleet = await startFleet(1);
    const leaving = lifeOf(fleet, 0);
    const observer = lifeOf(fleet, 3);
    const { role, dataCentre } = leaving.node;
    const countBefore = observer.plane.membership.liveCount(role, branded<DataCentreId>(dataCentre));
    const total = fleet.nodes.filter(node => node.role === role).length;
    t.is(observer.plane.membership.liveCount(role), total);
    void leaving.plane.leave();
    await fleet.clock.advance(300);
    t.is(observer.plane.membership.liveCount(role, branded<DataCentreId>(dataCentre)), countBefore - 1);
});

/** A stranger with another key announces a forged revision 100. */
const announceForgery = async (fleet: RolloutFleet): Promise<void> => {
    const target = lifeOf(fleet, 0).node;
    const name = "stranger";
    const runtime = createVirtualRuntime({
        name,
        dataCentre: target.dataCentre,
        network: fleet.network,
        random: fleet.random,
    });
    const address = branded<Address>("10.9.9.9:7000");
    const plane = startControlPlane({
        runtime,
        sharedKey: "another key",
        seeds: [branded<Address>(target.address)],
        self: {
            address,
            name: branded<InstanceId>(name),
            role: "agent",
            dataCentre: branded<DataCentreId>(target.dataCentre),
        },
    });
    await runtime.network.listen(address, plane.services);
    plane.store.offer(branded<Revision>(100), fleet.rules.version(100), "forgery");
    await fleet.clock.advance(40_000);
};

test.serial("a forged configuration is not taken", async t => {
    const fleet = await startFleet(1);
    await announceForgery(fleet);
    t.deepEqual(revisionsOf(fleet), [1]);
});

test.serial("a forged configuration is taken when authentication is skipped", async t => {
    using _fault = seedFaults(["control.skip-authentication"]);
    const fleet = await startFleet(1);
    await announceForgery(fleet);
    t.true(revisionsOf(fleet).includes(100));
});

test.serial("malformed and oversized datagrams cost nothing but themselves", async t => {
    const fleet = await startFleet(1);
    const { node, runtime } = lifeOf(fleet, 0);
    const address = branded<Address>("10.9.9.8:7000");
    const stranger = createVirtualRuntime({
        name: "stranger",
        dataCentre: node.dataCentre,
        network: fleet.network,
        random: fleet.random,
    });
    const socket = await stranger.network.openDatagramSocket(address, () => {});
    for (
        const bytes of [new Uint8Array(), Uint8Array.of(0xff, 1, 2), new Uint8Array(MAX_DATAGRAM_BYTES + 1)]
    ) {
        socket.send(branded<Address>(node.address), bytes);
    }
    await fleet.clock.advance(100);
    const dropped = runtime.events.recent()
        .filter(({ definition }) => definition.name === "control.message.dropped");
    t.is(dropped.length, 3);
    fleet.platform.publish(fleet.rules.version(2));
    await fleet.clock.advance(SETTLE_MS);
    t.deepEqual(revisionsOf(fleet), [2]);
});
