import test from "ava";
import "../../oracle/answerPromises.ts";
import "../../oracle/fleetPromises.ts";
import { systemPromises } from "../../oracle/promise.ts";
import { fuzzFleet, type FuzzOptions } from "../fuzzFleet.ts";

const RUNS = 15;

/**
 * Declares tests that no run of a seed violates a promise. Promises listed in KNOWN-RED.txt must still
 * be violated.
 */
export const testNoViolations = (
    seed: number,
    knownRed: readonly string[],
    options: Partial<FuzzOptions> = {},
): void => {
    const common = { seed, runs: RUNS, shrinks: false, ...options };
    test(`no run of seed ${seed} violates a promise`, async t => {
        const promises = systemPromises.names().filter(name => !knownRed.includes(name));
        const { violations, runs } = await fuzzFleet({ ...common, promises });
        t.deepEqual(violations, []);
        t.is(runs, RUNS);
    });
    for (const promise of knownRed) {
        test.failing(`no run of seed ${seed} violates ${promise}`, async t => {
            t.deepEqual((await fuzzFleet({ ...common, promises: [promise] })).violations, []);
        });
    }
};
