import { seedFaults } from "@magnolialock/kernel";
import test from "ava";
import { fuzzFleet, type FuzzOptions } from "../fuzzFleet.ts";

/** Runs within which the fuzzer must find each seeded fault. */
export const MAX_RUNS_TO_FIND = 60;

const SEED = 2;

/** Faults that stand in KNOWN-RED.txt, for the fuzzer does not find them within the bound. */
const KNOWN_RED: readonly string[] = ["agent.cut-off-at-stop"];

/** The fuzzer finds a fault of the product that is switched on, as a violation of the promise that it breaks. */
export const findsFault = (fault: string, promise: string, options: Partial<FuzzOptions> = {}): void => {
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
