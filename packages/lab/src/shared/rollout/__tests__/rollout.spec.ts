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
    toRulesRevision,
} from "@magnolialock/kernel";
import { createVirtualRuntime } from "@magnolialock/test-support";
import test from "ava";
import { ROLLOUT_FAULTS, runRollout } from "../rolloutExperiment.ts";
import { RolloutFleet, type RunningNode } from "../rolloutFleet.ts";

const RULES_BYTES = 20_000;
const MAX_IN_FORCE_MS = 6_000;
const MAX_BYTES_PER_S = 10_000;
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
        onAccepted: (_runningNode, revision) => accepted.push([revision]),
    });
    await fleet.clock.advance(SETTLE_MS);
    for (let version = 1; version <= revisions; version++) {
        fleet.platform.publish(fleet.rules.version(version));
    }
    await fleet.startAll(fleet.nodes, 1_000);
    await fleet.clock.advance(SETTLE_MS);
    return fleet;
};

const activeRevisions = (fleet: RolloutFleet): number[] => [
    ...new Set(
        [...fleet.runningNodes.values()].map(({ controlPlane }) =>
            Number(controlPlane.store.current?.revision ?? 0)
        ),
    ),
];

const runningNodeAt = (fleet: RolloutFleet, index: number): RunningNode =>
    fleet.runningNodes.get(fleet.nodes[index]?.name ?? "") as RunningNode;

for (const fault of ROLLOUT_FAULTS) {
    test.serial(`configuration changes become active on every node in time with fault ${fault}`, async t => {
        const report = await runRollout({
            nodes: 30,
            dataCentres: 3,
            seed: 1,
            rulesBytes: RULES_BYTES,
            fault,
        });
        t.true(report.inForceMaxMs <= MAX_IN_FORCE_MS);
        t.is(report.missing, 0);
        t.is(report.reverts, 0);
        t.is(report.missingRejected, 0);
        t.is(report.wronglyRemoved, 0);
        t.true(report.controlBytesPerNodePerS.p99 <= MAX_BYTES_PER_S);
        t.true(report.newcomerReadyMs <= MAX_IN_FORCE_MS);
    });
}

/** Trace 5: the platform serves revision 9, then 7 again while half of the instances are replaced. */
const replaceHalfWhileStale = async (): Promise<number[]> => {
    const accepted: number[][] = [];
    const fleet = await startFleet(9);
    fleet.platform.serveStaleRules({ revision: branded<Revision>(7), bytes: fleet.rules.version(7) });
    const replacements: RunningNode[] = [];
    for (const node of fleet.nodes.filter((_, index) => index % 2 === 0)) {
        const runningNode = await fleet.start(node);
        runningNode.controlPlane.store.onChange(({ revision }) => accepted.push([revision]));
        replacements.push(runningNode);
        await fleet.clock.advance(500);
    }
    await fleet.clock.advance(SETTLE_MS);
    return [...accepted.map(([revision]) => revision ?? 0), ...activeRevisions(fleet)];
};

test.serial("trace 5: no instance activates a revision below 9 while the platform serves 7", async t => {
    t.deepEqual([...new Set(await replaceHalfWhileStale())], [9]);
});

test.serial("trace 5 fails if new processes serve before they ask their peers", async t => {
    using _fault = seedFaults(["control.serve-before-asking-peers"]);
    t.true((await replaceHalfWhileStale()).includes(7));
});

/** Trace 6: revision 10 is rejected, the platform no longer serves 9, and a new instance starts. */
const startAfterRejection = async (): Promise<RunningNode> => {
    const fleet = await startFleet(9);
    fleet.platform.publish(fleet.rules.invalidVersion());
    await fleet.clock.advance(SETTLE_MS);
    const [node] = fleet.nodes;
    const runningNode = await fleet.start(node as NonNullable<typeof node>);
    await fleet.clock.advance(SETTLE_MS);
    return runningNode;
};

test.serial("trace 6: a new instance runs 9 from its peers and reports why 10 was rejected", async t => {
    const { controlPlane } = await startAfterRejection();
    t.is(Number(controlPlane.store.current?.revision), 9);
    t.is(Number(controlPlane.store.rejected?.revision), 10);
    t.regex(
        formatFinding(controlPlane.store.rejected?.findings[0] as never),
        /^rules:\d+:\d+: unknown rule "acount"/,
    );
});

test.serial("trace 6 fails if a rejected revision is adopted", async t => {
    using _fault = seedFaults(["control.adopt-rejected"]);
    const { controlPlane } = await startAfterRejection();
    t.not(Number(controlPlane.store.current?.revision ?? 0), 9);
});

test.serial("trace 14: replacing a data centre while the platform is down loses no revision", async t => {
    const fleet = await startFleet(9);
    fleet.platform.mode = "down";
    for (const node of fleet.nodes.filter(({ dataCentre }) => dataCentre === "dc-1")) {
        await fleet.start(node);
        await fleet.clock.advance(5_000);
    }
    await fleet.clock.advance(SETTLE_MS);
    const replacements = [...fleet.runningNodes.values()].filter(({ node }) => node.dataCentre === "dc-1");
    t.true(replacements.every(({ controlPlane }) => Number(controlPlane.store.current?.revision) === 9));
});

test.serial("a paused process confirms its configuration within a second of resuming", async t => {
    const fleet = await startFleet(1);
    const { runtime, controlPlane } = runningNodeAt(fleet, 0);
    runtime.process.pause();
    fleet.platform.publish(fleet.rules.version(2));
    await fleet.clock.advance(20_000);
    const resumedAtMs = fleet.clock.nowMs();
    t.true((controlPlane.store.confirmedAtMs ?? 0) < resumedAtMs);
    runtime.process.resume();
    await fleet.clock.advance(1_000);
    t.true((controlPlane.store.confirmedAtMs ?? 0) >= resumedAtMs);
    t.is(Number(controlPlane.store.current?.revision), 2);
});

test.serial("an isolated process removes no member, and is the only one that the others remove", async t => {
    const fleet = await startFleet(1);
    const isolated = runningNodeAt(fleet, 0);
    const heal = fleet.links.cut(
        ({ name }) => name === isolated.node.name,
        ({ name }) => name !== isolated.node.name,
    );
    await fleet.clock.advance(60_000);
    t.is(isolated.controlPlane.membership.deadPeers().length, 0);
    const other = runningNodeAt(fleet, 3);
    t.deepEqual(other.controlPlane.membership.deadPeers().map(({ name }) => String(name)), [
        isolated.node.name,
    ]);
    heal();
    await fleet.clock.advance(30_000);
    t.is(other.controlPlane.membership.deadPeers().length, 0);
});

test.serial("the live count excludes a leaving process within 300 ms", async t => {
    const fleet = await startFleet(1);
    const leaving = runningNodeAt(fleet, 0);
    const observer = runningNodeAt(fleet, 3);
    const { role, dataCentre } = leaving.node;
    const countBefore = observer.controlPlane.membership.liveCount(role, branded<DataCentreId>(dataCentre));
    const total = fleet.nodes.filter(node => node.role === role).length;
    t.is(observer.controlPlane.membership.liveCount(role), total);
    void leaving.controlPlane.leave();
    await fleet.clock.advance(300);
    t.is(
        observer.controlPlane.membership.liveCount(role, branded<DataCentreId>(dataCentre)),
        countBefore - 1,
    );
});

/** A process with another shared key announces a forged revision 100. */
const announceForgedRevision = async (fleet: RolloutFleet): Promise<void> => {
    const target = runningNodeAt(fleet, 0).node;
    const name = "stranger";
    const runtime = createVirtualRuntime({
        name,
        dataCentre: target.dataCentre,
        network: fleet.network,
        random: fleet.random,
    });
    const address = branded<Address>("10.9.9.9:7000");
    const controlPlane = startControlPlane({
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
    await runtime.network.listen(address, controlPlane.services);
    controlPlane.store.offer(branded<Revision>(100), fleet.rules.version(100), "forgery");
    await fleet.clock.advance(40_000);
};

test.serial("a forged configuration is not adopted", async t => {
    const fleet = await startFleet(1);
    await announceForgedRevision(fleet);
    t.deepEqual(activeRevisions(fleet), [1]);
});

test.serial("a forged configuration is adopted if authentication is skipped", async t => {
    using _fault = seedFaults(["control.skip-authentication"]);
    const fleet = await startFleet(1);
    await announceForgedRevision(fleet);
    t.true(activeRevisions(fleet).includes(100));
});

test.serial("malformed and oversized datagrams are dropped and have no other effect", async t => {
    const fleet = await startFleet(1);
    const { node, runtime } = runningNodeAt(fleet, 0);
    const address = branded<Address>("10.9.9.8:7000");
    const sender = createVirtualRuntime({
        name: "stranger",
        dataCentre: node.dataCentre,
        network: fleet.network,
        random: fleet.random,
    });
    const socket = await sender.network.openDatagramSocket(address, () => {});
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
    t.deepEqual(activeRevisions(fleet), [2]);
});

test.serial("rules published after the platform was restored stay out of force although their era is raised", async t => {
    const accepted: number[][] = [];
    const fleet = await startFleet(5, accepted);
    fleet.platform.restore(3);
    await fleet.start(fleet.nodes[0] as never);
    await fleet.clock.advance(SETTLE_MS);
    t.deepEqual(activeRevisions(fleet), [5], "the copy is not believed, also by a process that starts");
    fleet.platform.publish(fleet.rules.version(4));
    await fleet.clock.advance(MAX_IN_FORCE_MS);
    t.deepEqual(activeRevisions(fleet), [5], "a lower revision of the same era is the copy's");
    const rewound = [...fleet.runningNodes.values()].flatMap(({ runtime }) => runtime.events.recent())
        .filter(({ definition }) => definition.name === "control.platform.rewound");
    t.true(rewound.length > 0);
    const eraLine = Buffer.from("platform era=1 # ana: restored from a copy\n");
    fleet.platform.publish(Buffer.concat([fleet.rules.version(6), eraLine]));
    await fleet.clock.advance(MAX_IN_FORCE_MS);
    const restored = Number(toRulesRevision(1, 5));
    t.deepEqual(activeRevisions(fleet), [restored]);
    await fleet.start(fleet.nodes[4] as never);
    fleet.platform.mode = "down";
    await fleet.start(fleet.nodes[7] as never);
    await fleet.clock.advance(SETTLE_MS);
    t.deepEqual(activeRevisions(fleet), [restored]);
    fleet.platform.serveOldRevision(3);
    await fleet.clock.advance(SETTLE_MS);
    t.deepEqual(activeRevisions(fleet), [restored]);
});
