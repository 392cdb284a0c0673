import test from "ava";
import {
    demandHalfLifeMs,
    leaderCycleMs,
    leaderTimeoutMs,
    leadPasses,
    longestCycleMs,
    peerCheckTimeoutMs,
    statusTimeoutMs,
} from "../groupTiming.ts";

test("groups of up to 24 ranks keep the limits that were measured for them", t => {
    for (const size of [4, 8, 12, 24]) {
        t.is(leaderCycleMs(size, 1_000), Math.max(150, size * 10));
        t.is(leaderCycleMs(size, 0), Math.max(150, size * 10));
        t.is(leaderTimeoutMs(size, 1), 900);
        t.is(peerCheckTimeoutMs(size), 100);
        t.is(statusTimeoutMs(size), 500);
        t.is(demandHalfLifeMs(size), 500);
        t.is(leadPasses(size, { armMs: 550, passMs: 20 }), 3);
    }
});

test("no agent takes over between two sweeps of a leader that needs the longest time", t => {
    for (const size of [4, 24, 48, 64, 72, 128]) {
        t.true(leaderTimeoutMs(size, 1) > longestCycleMs(size) + statusTimeoutMs(size), `${size} ranks`);
    }
});

test("the leader of a large group waits less the faster it reads the ranks", t => {
    t.is(leaderCycleMs(72, 50), 300);
    t.is(leaderCycleMs(72, 200), 500);
    t.is(leaderCycleMs(72, 800), 720);
});

test("a large group does not reach the held pass before its ranks are armed", t => {
    for (const passMs of [50, 76, 120, 190]) {
        for (const armMs of [212, 261, 513, 550]) {
            t.true(
                leadPasses(72, { armMs, passMs }) * passMs >= armMs,
                `${armMs} ms, passes of ${passMs} ms`,
            );
        }
        t.true(leadPasses(72, { armMs: undefined, passMs }) * passMs >= 360);
    }
    t.is(leadPasses(72, { armMs: 5_000, passMs: 50 }), 12);
    t.is(leadPasses(72, { armMs: 10, passMs: 50 }), 3);
    t.is(leadPasses(72, { armMs: 500, passMs: undefined }), 3);
});
