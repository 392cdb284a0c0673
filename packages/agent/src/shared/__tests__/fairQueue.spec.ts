import test from "ava";
import fc from "fast-check";
import { FairQueue, type FairQueueItem } from "../fairQueue.ts";

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

test("a more urgent class goes first", t => {
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

test("a flood of one account delays another one by at most one round", t => {
    const queue = new FairQueue<Item>();
    for (let index = 0; index < 100; index++) {
        queue.push(item(index, 3, "flood"));
    }
    queue.push(item(1_000, 3, "late"));
    t.true(drain(queue).findIndex(({ account }) => account === "late") <= 1);
});

test("a full queue gives the place of the longest backlog, or of a less urgent class", t => {
    const queue = new FairQueue<Item>();
    [1, 2, 3].forEach(id => queue.push(item(id, 3, "flood")));
    t.is(queue.findVictim(item(9, 3, "other"))?.id, 3);
    t.is(queue.findVictim(item(9, 3, "flood")), undefined);
    t.is(queue.findVictim(item(9, 1, "flood"))?.id, 3);
    t.is(queue.findVictim(item(9, 4, "other")), undefined);
});

test("nothing is lost, repeated or taken out of its account's order", t => {
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
                    const isOldest = model.find(other =>
                        other.priority === taken.priority && other.account === taken.account
                    ) === taken;
                    t.true(taken.priority === mostUrgent && isOldest);
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
