import test from "ava";
import { BodyCollector, SegmentPool } from "../bodyCollector.ts";
import { CallerAccount, type CloseCause, requestHeapBytes } from "../callerAccount.ts";
import { callerBounds, DEFAULT_MACHINE } from "../callerBounds.ts";

const MIB = 1_048_576;

test("the default bounds hold several bodies of the largest published size", t => {
    const { bytes, connections } = callerBounds(DEFAULT_MACHINE, 160 * MIB);
    t.true(bytes >= 4 * 4 * MIB, `${bytes}`);
    t.true(connections >= 1_000, `${connections}`);
    t.true(callerBounds({ memoryBytes: 1, descriptors: 1 }, 1).bytes >= 12 * MIB);
});

// Guards against a sum that drifts: a connection that closes returns all that it held.
test("the most expensive connection is closed first, and a closed one gives back what it held", t => {
    const account = new CallerAccount({ bytes: MIB, heapBytes: MIB, connections: 10 });
    const closed: string[] = [];
    const open = (name: string) => account.open((cause: CloseCause) => closed.push(`${name}: ${cause}`), 0);
    const [small, large] = [open("small"), open("large")];
    small.addRequests(1);
    small.addBody(300_000);
    large.addBody(500_000);
    large.setBuffered(200_000);
    t.deepEqual(closed, []);
    small.addBody(100_000);
    t.deepEqual(closed, ["large: memory"]);
    large.addBody(-500_000);
    large.close();
    t.is(account.bytes, small.bytes);
    small.close();
    t.is(account.bytes, 0);
    t.is(account.connections, 0);
});

test("a further connection closes the one without a request that has been silent for longest", t => {
    const account = new CallerAccount({ bytes: MIB, heapBytes: MIB, connections: 3 });
    const closed: string[] = [];
    const open = (name: string, nowMs: number) =>
        account.open((cause: CloseCause) => closed.push(`${name}: ${cause}`), nowMs);
    open("busy", 0).addRequests(1);
    open("idle", 1);
    open("newer", 2);
    open("further", 3);
    t.deepEqual(closed, ["idle: descriptors"]);
    t.is(account.connections, 3);
});

// Guards against a heap that ends the process although little memory is held beside it.
test("heads count with the heap that their lines take, complete or not", t => {
    const bounds = callerBounds({ memoryBytes: 350_000_000, descriptors: 4_100 }, 160 * MIB);
    const account = new CallerAccount(bounds);
    let closed = 0;
    for (let index = 0; index < 2_000; index++) {
        const holding = account.open(() => closed++, 0);
        if (index % 2 === 0) {
            holding.addRequests(1, requestHeapBytes(980, 12_000));
        }
        else {
            holding.setPartialHead(14_000);
        }
    }
    t.true(closed > 1_000, `${closed}`);
    t.true(account.heapBytes <= bounds.heapBytes);
});

// Guards against a crowd that evicts callers which wait for their answers.
test("callers that owe the rest of a request are closed before those that wait for an answer", t => {
    const account = new CallerAccount({ bytes: MIB, heapBytes: MIB, connections: 4 });
    const closed: string[] = [];
    const open = (name: string, nowMs: number) =>
        account.open((cause: CloseCause) => closed.push(`${name}: ${cause}`), nowMs);
    const waiting = open("waiting", 0);
    waiting.addRequests(1);
    waiting.addBody(20_000);
    const kept = open("kept", 0);
    kept.addRequests(1);
    kept.addRequests(-1);
    const unfinished = open("unfinished", 100);
    unfinished.addRequests(1);
    unfinished.addUnfinishedBodies(1);
    const partial = open("partial", 200);
    partial.setPartialHead(100);
    open("further", 1_000).addRequests(1);
    open("one more", 1_000).addRequests(1);
    open("and another", 1_000).addRequests(1);
    t.deepEqual(closed, ["unfinished: descriptors", "partial: descriptors", "kept: descriptors"]);
});

test("of unfinished and waiting requests the unfinished one is closed for memory if it holds its share", t => {
    const account = new CallerAccount({ bytes: MIB, heapBytes: MIB, connections: 10 });
    const closed: string[] = [];
    const open = (name: string) => account.open((cause: CloseCause) => closed.push(`${name}: ${cause}`), 0);
    const [waiting, unfinished, slight] = [open("waiting"), open("unfinished"), open("slight")];
    waiting.addRequests(1);
    waiting.addBody(600_000);
    unfinished.addUnfinishedBodies(1);
    unfinished.addBody(400_000);
    slight.addUnfinishedBodies(1);
    slight.addBody(100_000);
    t.deepEqual(closed, ["unfinished: memory"]);
    waiting.addBody(400_000);
    t.deepEqual(closed, ["unfinished: memory", "waiting: memory"]);
});

// Guards against one object for each chunk of a body.
test("the segments of a body depend on its size, not on its chunks", t => {
    const counts = [1, 64, 16_384].map(chunkBytes => {
        let segments = 0;
        const collector = new BodyCollector(undefined, new SegmentPool(), () => segments++);
        const body = Buffer.from(Array.from({ length: 300_000 }, (_, index) => index % 251));
        for (let start = 0; start < body.length; start += chunkBytes) {
            collector.add(body.subarray(start, start + chunkBytes));
        }
        t.deepEqual(collector.take(), body);
        return segments;
    });
    t.is(new Set(counts).size, 1);
    t.true((counts[0] ?? 0) <= 8, `${counts[0]}`);
});
