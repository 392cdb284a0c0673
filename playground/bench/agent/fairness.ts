/**
 * Measures the fairness between client accounts that always have queued requests: the share of each account
 * in the completed requests, divided by its share of the weights (1 is fair).
 */

import { startAgentHarness } from "./agentHarness.ts";

const SEEDS = 5;
const CALLERS_PER_ACCOUNT = 6;
const DURATION_MS = 120_000;
const WARM_UP_MS = 20_000;

for (let seed = 1; seed <= SEEDS; seed++) {
    const harness = await startAgentHarness({ seed, coldLimit: 2, warmLimit: 8, queueLimit: 48 });
    const accounts = Array.from({ length: 10 }, (_, index) => ({
        account: `a${index + 1}`,
        weight: index < 3 ? 4 : 1,
    }));
    for (const account of accounts) {
        // Account a10 floods the agent: it has five times the callers of each other account.
        const callers = account.account === "a10" ? CALLERS_PER_ACCOUNT * 5 : CALLERS_PER_ACCOUNT;
        for (let index = 0; index < callers; index++) {
            harness.addCaller(account);
        }
    }
    await harness.clock.advance(WARM_UP_MS);
    const completedBefore = new Map(harness.completedByAccount);
    await harness.clock.advance(DURATION_MS);
    const counts = accounts.map(({ account, weight }) => ({
        account,
        weight,
        count: (harness.completedByAccount.get(account) ?? 0) - (completedBefore.get(account) ?? 0),
    }));
    const totalCompleted = counts.reduce((sum, { count }) => sum + count, 0);
    const totalWeight = accounts.reduce((sum, { weight }) => sum + weight, 0);
    const normalizedShares = counts.map(({ count, weight }) =>
        count / totalCompleted / (weight / totalWeight)
    );
    console.log(JSON.stringify({
        seed,
        completed: totalCompleted,
        unfairnessMax: Number(Math.max(...normalizedShares).toFixed(3)),
        unfairnessMin: Number(Math.min(...normalizedShares).toFixed(3)),
        floodingAccount: Number((normalizedShares.at(-1) ?? 0).toFixed(3)),
    }));
}
