/**
 * Searches for a pass that runs on two maps, or a group that stays held, in drawn runs of virtual groups under mixes of
 * faults: `npx tsx scripts/searchMapSwitch.ts --from 1000 --runs 400`.
 */

import yargs from "yargs";
import { type GroupFaults, VirtualGroup } from "../packages/rank/src/shared/__tests__/virtualGroup.ts";

const RANKS = 4;
/** Time with faults. */
const RUN_MS = 20_000;
/** Time without, in which orders that are carried out late still arrive. */
const QUIET_MS = 16_000;
/** A group that begins no pass for so long at the end stays held. */
const LAST_LOOK_MS = 1_000;

const ALL: GroupFaults = {
    lostOrders: 0.3,
    slowCalls: 0.05,
    idleEveryMs: 6_000,
    killEveryMs: 900,
    suspendEveryMs: 2_500,
    reformEveryMs: 12_000,
};

const MIXES: Readonly<Record<string, GroupFaults>> = {
    all: ALL,
    suspensions: { ...ALL, suspendLeaders: true, suspendOthers: true },
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

const play = async (seed: number, faults: GroupFaults): Promise<string | undefined> => {
    const group = new VirtualGroup(RANKS, seed, faults);
    await group.clock.advance(RUN_MS);
    group.faults = {};
    await group.clock.advance(QUIET_MS);
    const { pass } = group;
    await group.clock.advance(LAST_LOOK_MS);
    group.end();
    if (group.mixedPasses > 0) {
        return "a pass ran on two maps";
    }
    return group.pass > pass ? undefined : "the group stays held";
};

const { from, runs } = await yargs(process.argv.slice(2))
    .option("from", { type: "number", default: 1, description: "First seed" })
    .option("runs", { type: "number", default: 100, description: "Runs of each mix" })
    .strict()
    .parse();

let findings = 0;
for (const [name, faults] of Object.entries(MIXES)) {
    for (let seed = from; seed < from + runs; seed++) {
        const finding = await play(seed, faults);
        if (finding !== undefined) {
            findings++;
            console.log(`${name}, seed ${seed}: ${finding}`);
        }
    }
    console.log(`${name}: ${runs} runs from seed ${from}`);
}
process.exitCode = findings > 0 ? 1 : 0;
