import { branded, type DataCentreId } from "@magnolialock/kernel";
import test from "ava";
import { concurrencyLimit, shareOfFleet } from "../concurrencyLimit.ts";

const A = branded<DataCentreId>("a");
const B = branded<DataCentreId>("b");

test("data centres have equal shares, and so have the instances within one", t => {
    t.is(shareOfFleet(A, []), 1);
    t.is(shareOfFleet(A, [B, B, B]), 1 / 2);
    t.is(shareOfFleet(B, [A, B, B]), 1 / 6);
});

test("the shares of all instances add up to one", t => {
    const fleet = [A, A, A, B, B];
    const shares = fleet.map((own, index) => shareOfFleet(own, fleet.filter((_, other) => other !== index)));
    t.true(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 1e-9);
});

test("an instance may use its share whatever the others run, and grow by its share of the idle slots", t => {
    const full = concurrencyLimit({ slots: 100, ownRunning: 5, peerRunning: 200, share: 0.1 });
    t.is(full, 11);
    const alone = concurrencyLimit({ slots: 100, ownRunning: 30, peerRunning: 0, share: 0.1 });
    t.is(alone, 38);
    t.is(concurrencyLimit({ slots: 0, ownRunning: 0, peerRunning: 0, share: 0.1 }), 1);
});

test("all instances together never grow by more than the idle slots", t => {
    const share = 1 / 7;
    const running = [40, 0, 0, 5, 10, 0, 0];
    const total = running.reduce((sum, own) => sum + own, 0);
    const limits = running.map(own =>
        concurrencyLimit({ slots: 96, ownRunning: own, peerRunning: total - own, share })
    );
    const growth = limits.reduce(
        (sum, limit, index) => sum + Math.max(0, limit - Math.max(running[index] ?? 0, 15)),
        0,
    );
    t.true(total + growth <= 96 * 1.1);
});
