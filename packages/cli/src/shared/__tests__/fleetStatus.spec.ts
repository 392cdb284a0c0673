import { type Address, branded } from "@magnolialock/kernel";
import { RolloutFleet } from "@magnolialock/lab";
import { createVirtualRuntime } from "@magnolialock/test-support";
import test from "ava";
import { awaitRollout, evaluateRollout, type RolloutState } from "../awaitRollout.ts";
import { type FleetStatus, type FleetStatusOptions, readFleetStatus } from "../fleetStatus.ts";
import { formatStatus, formatStatusJson } from "../formatStatus.ts";

const NODES = 12;

const startFleet = async (): Promise<{ fleet: RolloutFleet; options: FleetStatusOptions; }> => {
    const fleet = new RolloutFleet({ nodes: NODES, dataCentres: 3, seed: 1, rulesBytes: 20_000 });
    await fleet.clock.advance(6_000);
    fleet.platform.publish(fleet.rules.version(1));
    await fleet.startAll(fleet.nodes, 1_000);
    await fleet.clock.advance(10_000);
    const runtime = createVirtualRuntime({
        name: "operator",
        dataCentre: "dc-1",
        network: fleet.network,
        random: fleet.random,
    });
    const peers = [branded<Address>(fleet.nodes[0]?.address ?? "")];
    return { fleet, options: { runtime, peers, timeoutMs: 1_000 } };
};

const read = (fleet: RolloutFleet, options: FleetStatusOptions): Promise<FleetStatus> =>
    fleet.clock.runUntilSettled(readFleetStatus(options), 30_000);

test("status discovers the processes of all data centres from one process", async t => {
    const { fleet, options } = await startFleet();
    const status = await read(fleet, options);
    t.deepEqual(
        status.processes.map(({ instance }) => instance).sort(),
        fleet.nodes.map(({ name }) => name).sort(),
    );
    t.is(status.revision, 1);
    t.regex(formatStatus(status), /^12 processes, revision 1, 0 behind, 0 without an answer$/m);
    t.regex(formatStatus(status), /^dc-1 +entry +entry-dc-1-3 +1 .* ok$/m);
    t.is(JSON.parse(formatStatusJson(status)).processes.length, NODES);
});

test("status shows a rejected revision with its findings, and rollout reports the rejection", async t => {
    const { fleet, options } = await startFleet();
    fleet.platform.publish(fleet.rules.invalidVersion());
    await fleet.clock.advance(6_000);
    const status = await read(fleet, options);
    t.regex(formatStatus(status), /revision 2 was rejected; 1 stays in force/);
    t.regex(formatStatus(status), /rules:\d+:1: unknown rule "acount"/);
    t.is(evaluateRollout(status).kind, "rejected");
});

test("rollout lists missing processes and completes once the revision is in force on all", async t => {
    const { fleet, options } = await startFleet();
    const paused = fleet.runningNodes.get(fleet.nodes[5]?.name ?? "");
    paused?.runtime.process.pause();
    fleet.platform.publish(fleet.rules.version(2));
    await fleet.clock.advance(1_000);
    const seen: RolloutState[] = [];
    const rollout = awaitRollout({ ...options, waitMs: 30_000, onProgress: state => void seen.push(state) });
    fleet.clock.setTimer(5_000, () => paused?.runtime.process.resume());
    const last = await fleet.clock.runUntilSettled(rollout, 60_000);
    const [first] = seen;
    t.deepEqual(first?.kind === "missing" ? first.missing : [], [paused?.node.name]);
    t.deepEqual(last, { kind: "in force", revision: 2, count: NODES });
});
