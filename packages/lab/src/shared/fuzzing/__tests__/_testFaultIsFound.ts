import { seedFaults } from "@magnolialock/kernel";
import test from "ava";
import { fuzzFleet, type FuzzOptions } from "../fuzzFleet.ts";

/** Number of runs within which the fuzzer must find each seeded fault. */
export const MAX_RUNS_TO_FIND = 60;

const SEED = 2;

/** Faults listed in KNOWN-RED.txt, because the fuzzer does not find them within the bound. */
const KNOWN_RED: readonly string[] = ["agent.cut-off-at-stop"];

/**
 * Declares a test that the fuzzer finds a seeded fault of the product, as a violation of the promise that it
 * breaks.
 */
export const testFaultIsFound = (
    fault: string,
    promise: string,
    options: Partial<FuzzOptions> = {},
): void => {
    const run = KNOWN_RED.includes(fault) ? test.failing : test;
    run(`${fault} is found as a violation of ${promise}`, async t => {
        using _fault = seedFaults([fault]);
        const report = await fuzzFleet({
            seed: SEED,
            runs: MAX_RUNS_TO_FIND,
            shrinks: false,
            promises: [promise],
            ...options,
        });
        t.log(`found in run ${report.runs}, after ${report.commands} commands`);
        t.deepEqual([...new Set(report.violations.map(violation => violation.promise))], [promise]);
    });
};
