import { createSystemClock, EventLog } from "@magnolialock/kernel";
import test from "ava";
import type { ConnectionEnds, ProbeResult, ServerIdentity } from "../../../types/call.ts";
import { NAMES, ORDERS, serverEntry, serviceSpec } from "../../__tests__/directFixture.ts";
import type { ActiveConfiguration } from "../../activeConfiguration.ts";
import { noCallMetrics } from "../../callMetrics.ts";

import type { ServerDirectory } from "../../serverDirectory.ts";
import { TrackedServer } from "../../trackedServer.ts";
import {
    AnswerEnds,
    type EndEvidence,
    endEvidence,
    type EndObservation,
    isCompleteBy,
} from "../answerEnds.ts";

const NONE_LEFT: ConnectionEnds = { stillOpen: 0, stillAnswering: 0, endedTogether: 1, endedAfterData: 1 };
const ONE_LEFT: ConnectionEnds = { ...NONE_LEFT, stillOpen: 1, stillAnswering: 1 };

const ALL_ENDED: ConnectionEnds = { ...NONE_LEFT, endedTogether: 3 };
const ALL_ENDED_ONE_WAITS: ConnectionEnds = { ...ALL_ENDED, stillOpen: 1 };

const CASES: readonly (EndObservation & { readonly evidence: EndEvidence; readonly isComplete: boolean; })[] =
    [
        {
            probe: "accepted",
            ends: NONE_LEFT,
            hadStoppedListening: false,
            evidence: "accepts",
            isComplete: true,
        },
        {
            probe: "accepted",
            ends: ALL_ENDED,
            identity: "same",
            hadStoppedListening: false,
            evidence: "accepts",
            isComplete: true,
        },
        {
            probe: "accepted",
            ends: ALL_ENDED,
            identity: "unnamed",
            hadStoppedListening: false,
            evidence: "accepts",
            isComplete: true,
        },
        {
            probe: "accepted",
            ends: ALL_ENDED,
            identity: "other",
            hadStoppedListening: false,
            evidence: "replaced",
            isComplete: false,
        },
        {
            probe: "accepted",
            ends: ALL_ENDED,
            identity: "silent",
            hadStoppedListening: false,
            evidence: "endedTogether",
            isComplete: false,
        },
        {
            probe: "silent",
            ends: NONE_LEFT,
            hadStoppedListening: false,
            evidence: "silent",
            isComplete: true,
        },
        {
            probe: "refused",
            ends: NONE_LEFT,
            hadStoppedListening: false,
            evidence: "refuses",
            isComplete: false,
        },
        {
            probe: "refused",
            ends: ONE_LEFT,
            hadStoppedListening: false,
            evidence: "othersOpen",
            isComplete: true,
        },
        {
            probe: "refused",
            ends: NONE_LEFT,
            hadStoppedListening: true,
            evidence: "stoppedBefore",
            isComplete: true,
        },
        {
            probe: "refused",
            ends: { ...ALL_ENDED, endedAfterData: 3 },
            hadStoppedListening: true,
            evidence: "stoppedBefore",
            isComplete: true,
        },
        {
            probe: "refused",
            ends: ALL_ENDED,
            hadStoppedListening: true,
            evidence: "endedTogether",
            isComplete: false,
        },
    ];

for (const { evidence, isComplete, ...observation } of CASES) {
    const { identity = "not asked" } = observation;
    const { endedAfterData, endedTogether } = observation.ends;
    const ends = `${endedTogether} ended, ${endedAfterData} after data`;
    test(`the end of an answer is judged: ${evidence}, ${observation.probe}, ${identity}, ${ends}`, t => {
        t.is(endEvidence(observation), evidence);
        t.is(isCompleteBy(evidence), isComplete);
    });
}

/** A server as a test describes it. */
interface World {
    probe: ProbeResult;
    ends: ConnectionEnds;
    probes: number;
    isLeaving: boolean;
    identity?: ServerIdentity;
    /** Health checks that were made. */
    checks?: number;
}

/** Judges the ends of answers of one server. */
const startEnds = (world: World, healthPath?: string) => {
    const clock = createSystemClock();
    const events = new EventLog({ clock, instance: "entry-1" });
    const ends = new AnswerEnds({
        runtime: { clock, events },
        metrics: noCallMetrics,
        headers: NAMES,
        store: {
            configuration: {
                services: new Map([[ORDERS, { ...serviceSpec(ORDERS), healthPath }]]),
            } as unknown as ActiveConfiguration,
        },
        directory: { isLeaving: () => world.isLeaving } as unknown as ServerDirectory,
        upstreams: {
            start: () => {
                throw new Error("no request is sent");
            },
            probe: async () => {
                world.probes++;
                return world.probe;
            },
            observeEnds: () => ({ read: () => world.ends, settled: async () => world.ends }),
            identify: async () => {
                world.checks = (world.checks ?? 0) + 1;
                return world.identity ?? { kind: "silent" };
            },
            closeIdle: () => {},
        },
    });
    const server = new TrackedServer({ clock }, serverEntry("server-1", ORDERS));
    const pause = (ms: number) => new Promise(resolve => clock.setTimer(ms, () => resolve(undefined)));
    return { ends, server, pause };
};

test("the last answer of a server that has stopped listening before is complete", async t => {
    const world = {
        probe: "refused" as ProbeResult,
        ends: ONE_LEFT,
        probes: 0,
        isLeaving: true,
    };
    const { ends, pause, server } = startEnds(world);
    using _answer = ends.begin(server);
    await pause(400);
    t.is(world.probes, 1);
    world.ends = NONE_LEFT;
    t.true(await ends.isComplete(server, NAMES.requestId));
});

test("a server that does not leave is not probed while its answers are under way", async t => {
    const world = { probe: "refused" as ProbeResult, ends: NONE_LEFT, probes: 0, isLeaving: false };
    const { ends, pause, server } = startEnds(world);
    using _answer = ends.begin(server);
    await pause(400);
    t.is(world.probes, 0);
    t.false(await ends.isComplete(server, NAMES.requestId));
});

const HEALTH_PATH = "/health";

// Guards against parts of answers that look complete since a supervisor starts their killed server again at the same address.
test("a server is asked who it is if all its connections have ended at once", async t => {
    const world: World = { probe: "accepted", ends: ALL_ENDED, probes: 0, isLeaving: false };
    const { ends, server } = startEnds(world, HEALTH_PATH);
    t.false(await ends.isComplete(server, "r1"));
    world.identity = { kind: "answered", id: "server-2" };
    t.false(await ends.isComplete(server, "r2"));
    world.ends = ALL_ENDED_ONE_WAITS;
    t.false(await ends.isComplete(server, "r2"));
    world.identity = { kind: "answered", id: "server-1" };
    t.true(await ends.isComplete(server, "r3"));
    world.identity = { kind: "answered", id: undefined };
    t.true(await ends.isComplete(server, "r4"));
    t.is(world.checks, 5);
});

test("a server is not asked who it is if another of its connections is open, or this was the only one", async t => {
    const world: World = { probe: "accepted", ends: NONE_LEFT, probes: 0, isLeaving: false };
    const { ends, server } = startEnds(world, HEALTH_PATH);
    t.true(await ends.isComplete(server, "r1"));
    world.ends = { ...ALL_ENDED, stillOpen: 1, stillAnswering: 1 };
    t.true(await ends.isComplete(server, "r2"));
    t.is(world.checks, undefined);
});

test("a server of a service without a health check is believed while its address accepts connections", async t => {
    const world: World = { probe: "accepted", ends: ALL_ENDED, probes: 0, isLeaving: false };
    const { ends, server } = startEnds(world);
    t.true(await ends.isComplete(server, "r1"));
    t.is(world.checks, undefined);
});
