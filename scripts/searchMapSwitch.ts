/**
 * Searches randomised simulations of rank groups under several mixes of faults for violations of the map
 * switch: a pass that runs on two expert maps (safety), or a group whose passes stay held after the faults
 * have ended (liveness).
 *
 * Run with `npx tsx scripts/searchMapSwitch.ts --from 1000 --runs 400`.
 */

import yargs from "yargs";
import { type GroupFaults, VirtualGroup } from "../packages/rank/src/shared/__tests__/virtualGroup.ts";

const RANK_COUNT = 4;
/** Virtual time with injected faults. */
const FAULT_PHASE_MS = 20_000;
/** Virtual time without new faults afterwards, in which orders that the faults have delayed still run. */
const RECOVERY_PHASE_MS = 16_000;
/** A group that starts no pass within this time after the recovery phase counts as held. */
const LIVENESS_CHECK_MS = 1_000;

const ALL_FAULTS: GroupFaults = {
    lostOrders: 0.3,
    slowCalls: 0.05,
    idleEveryMs: 6_000,
    killEveryMs: 900,
    suspendEveryMs: 2_500,
    reformEveryMs: 12_000,
};

const FAULT_MIXES: Readonly<Record<string, GroupFaults>> = {
    all: ALL_FAULTS,
    suspensions: { ...ALL_FAULTS, suspendLeaders: true, suspendOthers: true },
    slowCalls: {
        lostOrders: 0.3,
        slowCalls: 0.3,
        idleEveryMs: 6_000,
        killEveryMs: 3_000,
        suspendEveryMs: 2_500,
    },
    kills: { slowCalls: 0.2, idleEveryMs: 3_000, killEveryMs: 500 },
    lostOrders: { lostOrders: 0.5, slowCalls: 0.1 },
};

/** Simulates one group; returns a description of the violation, or undefined when there is none. */
const findViolation = async (seed: number, faults: GroupFaults): Promise<string | undefined> => {
    const group = new VirtualGroup(RANK_COUNT, seed, faults);
    await group.clock.advance(FAULT_PHASE_MS);
    group.faults = {};
    await group.clock.advance(RECOVERY_PHASE_MS);
    const { pass: passBefore } = group;
    await group.clock.advance(LIVENESS_CHECK_MS);
    group.end();
    if (group.mixedPasses > 0) {
        return "a pass ran on two expert maps";
    }
    return group.pass > passBefore ? undefined : "the passes of the group stay held";
};

const { from, runs } = await yargs(process.argv.slice(2))
    .option("from", { type: "number", default: 1, description: "First seed of each mix" })
    .option("runs", {
        type: "number",
        default: 100,
        description: "Number of runs of each mix, with consecutive seeds",
    })
    .strict()
    .parse();

let violationCount = 0;
for (const [name, faults] of Object.entries(FAULT_MIXES)) {
    for (let seed = from; seed < from + runs; seed++) {
        const violation = await findViolation(seed, faults);
        if (violation !== undefined) {
            violationCount++;
            console.log(`${name}, seed ${seed}: ${violation}`);
        }
    }
    console.log(`${name}: ${runs} runs from seed ${from}`);
}
process.exitCode = violationCount > 0 ? 1 : 0;
