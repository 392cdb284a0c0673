import test from "ava";
import fc from "fast-check";
import { FairQueue } from "../fairQueue.ts";
import type { FairQueueItem } from "../priorityClassQueue.ts";

interface Item extends FairQueueItem {
    readonly id: number;
}

const item = (id: number, priority: number, account: string, weight = 1): Item => ({
    id,
    priority,
    account,
    weight,
});

const drain = (queue: FairQueue<Item>): Item[] => {
    const taken: Item[] = [];
    for (let next = queue.shift(); next; next = queue.shift()) {
        taken.push(next);
    }
    return taken;
};

test("a more urgent class is served first", t => {
    const queue = new FairQueue<Item>();
    [4, 2, 1, 3].forEach((priority, index) => queue.push(item(index, priority, "a")));
    t.deepEqual(drain(queue).map(({ priority }) => priority), [1, 2, 3, 4]);
});

test("accounts share starts by weight while all are backlogged", t => {
    const queue = new FairQueue<Item>();
    for (let index = 0; index < 400; index++) {
        queue.push(item(index, 3, "large", 3));
        queue.push(item(index, 3, "small", 1));
    }
    const first = drain(queue).slice(0, 200);
    t.is(first.filter(({ account }) => account === "large").length, 150);
});

test("a burst of one account delays another account by at most one round", t => {
    const queue = new FairQueue<Item>();
    for (let index = 0; index < 100; index++) {
        queue.push(item(index, 3, "flood"));
    }
    queue.push(item(1_000, 3, "late"));
    t.true(drain(queue).findIndex(({ account }) => account === "late") <= 1);
});

test("a full queue evicts from the longest backlog or from a less urgent class", t => {
    const queue = new FairQueue<Item>();
    [1, 2, 3].forEach(id => queue.push(item(id, 3, "flood")));
    t.is(queue.findEvictionCandidate(item(9, 3, "other"))?.id, 3);
    t.is(queue.findEvictionCandidate(item(9, 3, "flood")), undefined);
    t.is(queue.findEvictionCandidate(item(9, 1, "flood"))?.id, 3);
    t.is(queue.findEvictionCandidate(item(9, 4, "other")), undefined);
});

test("no item is lost, duplicated or reordered within its account", t => {
    const operation = fc.oneof(
        fc.record({
            kind: fc.constant("push" as const),
            priority: fc.integer({ min: 1, max: 4 }),
            account: fc.constantFrom("a", "b", "c"),
        }),
        fc.record({ kind: fc.constant("shift" as const) }),
        fc.record({ kind: fc.constant("remove" as const), index: fc.nat(20) }),
    );
    fc.assert(
        fc.property(fc.array(operation, { maxLength: 120 }), operations => {
            const queue = new FairQueue<Item>();
            const model: Item[] = [];
            const forget = (taken: Item): void => void model.splice(model.indexOf(taken), 1);
            operations.forEach((step, id) => {
                if (step.kind === "push") {
                    const added = item(id, step.priority, step.account, id % 3 + 1);
                    queue.push(added);
                    model.push(added);
                    return;
                }
                const taken = step.kind === "shift" ? queue.shift() : model[step.index];
                if (!taken) {
                    return;
                }
                if (step.kind === "shift") {
                    const mostUrgent = Math.min(...model.map(({ priority }) => priority));
                    const isOldestOfAccount = model.find(other =>
                        other.priority === taken.priority && other.account === taken.account
                    ) === taken;
                    t.true(taken.priority === mostUrgent && isOldestOfAccount);
                }
                else {
                    t.true(queue.remove(taken));
                }
                forget(taken);
            });
            t.is(queue.size, model.length);
            t.true(model.every(waiting => queue.items().includes(waiting)));
        }),
        { seed: 4, numRuns: 200 },
    );
});

test("the estimate of the items ahead is exact to one round", t => {
    const accounts = [["a", 1], ["b", 2], ["c", 4]] as const;
    fc.assert(
        fc.property(fc.array(fc.nat(2), { minLength: 1, maxLength: 60 }), fc.nat(2), (picks, own) => {
            const queue = new FairQueue<Item>();
            picks.forEach((pick, id) => queue.push(item(id, 3, ...accounts[pick] as [string, number])));
            const added = item(1_000, 3, ...accounts[own] as [string, number]);
            const [ahead] = queue.countAhead(added);
            queue.push(added);
            const position = drain(queue).indexOf(added);
            // The length of a round is the sum of all weights divided by the weight of the item's account.
            const roundLength = Math.ceil(7 / added.weight) + accounts.length;
            t.true(Math.abs((ahead?.count ?? 0) - position) <= roundLength);
        }),
        { seed: 4, numRuns: 200 },
    );
});

test("an account with a small weight gets its share even if the queue is shorter than a round", t => {
    const queue = new FairQueue<Item>();
    const accounts = [["a", 4], ["b", 4], ["c", 4], ["light", 1]] as const;
    const starts = new Map<string, number>();
    for (let step = 0; step < 4_000; step++) {
        // Four requests arrive per start, one of each account, so all accounts stay backlogged.
        accounts.forEach(([account, weight], index) => {
            const added = item(step * 10 + index, 3, account, weight);
            const evicted = queue.size >= 6 ? queue.findEvictionCandidate(added) : undefined;
            if (evicted) {
                queue.remove(evicted);
            }
            if (queue.size < 6) {
                queue.push(added);
            }
        });
        const account = queue.shift()?.account ?? "";
        starts.set(account, (starts.get(account) ?? 0) + 1);
    }
    const share = (starts.get("light") ?? 0) / 4_000 / (1 / 13);
    t.true(share >= 0.8 && share <= 1.2, `light account got ${share.toFixed(2)} of its share`);
});
