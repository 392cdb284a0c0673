/**
 * Measures the shares of client accounts that are all backlogged, over their weights.
 */

import { startRig } from "./agentRig.ts";

const SEEDS = 5;
const CALLERS_PER_ACCOUNT = 6;
const DURATION_MS = 120_000;
const WARM_UP_MS = 20_000;

for (let seed = 1; seed <= SEEDS; seed++) {
    const rig = await startRig({ seed, cold: 2, warm: 8, queue: 48 });
    const accounts = Array.from({ length: 10 }, (_, index) => ({
        account: `a${index + 1}`,
        weight: index < 3 ? 4 : 1,
    }));
    for (const account of accounts) {
        // The first account floods: five times the callers of the others.
        const callers = account.account === "a10" ? CALLERS_PER_ACCOUNT * 5 : CALLERS_PER_ACCOUNT;
        for (let index = 0; index < callers; index++) {
            rig.addCaller(account);
        }
    }
    await rig.clock.advance(WARM_UP_MS);
    const before = new Map(rig.completedByAccount);
    await rig.clock.advance(DURATION_MS);
    const counts = accounts.map(({ account, weight }) => ({
        account,
        weight,
        count: (rig.completedByAccount.get(account) ?? 0) - (before.get(account) ?? 0),
    }));
    const total = counts.reduce((sum, { count }) => sum + count, 0);
    const weights = accounts.reduce((sum, { weight }) => sum + weight, 0);
    const shares = counts.map(({ count, weight }) => count / total / (weight / weights));
    console.log(JSON.stringify({
        seed,
        completed: total,
        unfairnessMax: Number(Math.max(...shares).toFixed(3)),
        unfairnessMin: Number(Math.min(...shares).toFixed(3)),
        floodingAccount: Number((shares.at(-1) ?? 0).toFixed(3)),
    }));
}
