import { createSystemClock, EventLog } from "@magnolialock/kernel";
import test from "ava";
import type { ConnectionEnds, ProbeResult } from "../../../types/call.ts";
import { NAMES, ORDERS, serverEntry } from "../../__tests__/directFixture.ts";
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

const NONE_LEFT: ConnectionEnds = { stillOpen: 0, endedTogether: 1 };

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
            ends: { stillOpen: 1, endedTogether: 1 },
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
            ends: { stillOpen: 0, endedTogether: 3 },
            hadStoppedListening: true,
            evidence: "endedTogether",
            isComplete: false,
        },
    ];

for (const { evidence, isComplete, ...observation } of CASES) {
    test(`the end of an answer is judged by the server: ${evidence}`, t => {
        t.is(endEvidence(observation), evidence);
        t.is(isCompleteBy(evidence), isComplete);
    });
}

/** Judges the ends of answers of one server that leaves, whose connections a test describes. */
const startEnds = (
    world: { probe: ProbeResult; ends: ConnectionEnds; probes: number; isLeaving: boolean; },
) => {
    const clock = createSystemClock();
    const events = new EventLog({ clock, instance: "entry-1" });
    const ends = new AnswerEnds({
        runtime: { clock, events },
        metrics: noCallMetrics,
        directory: { isLeaving: () => world.isLeaving } as unknown as ServerDirectory,
        upstreams: {
            start: () => {
                throw new Error("no request is sent");
            },
            probe: async () => {
                world.probes++;
                return world.probe;
            },
            observeEnds: async () => world.ends,
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
        ends: { stillOpen: 1, endedTogether: 0 },
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
