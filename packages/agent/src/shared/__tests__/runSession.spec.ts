import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { BinaryWriter } from "@bufbuild/protobuf/wire";
import { AsyncQueue } from "@magnolialock/kernel";
import {
    type RunEvent,
    RunEventSchema,
    type RunRequest,
    type SessionEvent,
    type SessionRequestBatch,
    SessionRequestBatchSchema,
} from "@magnolialock/protocol";
import test from "ava";
import { runSession } from "../runSession.ts";

const endOf = (request: RunRequest): RunEvent =>
    create(RunEventSchema, { requestId: request.requestId, event: { case: "end", value: {} } });

const runOf = (
    call: number,
) => ({ call, request: { case: "run", value: { requestId: `r${call}` } } } as const);

/** Runs a session with the given batches and collects its events. */
const collect = async (
    batches: readonly SessionRequestBatch[],
    run: (request: RunRequest, signal: AbortSignal) => AsyncIterable<RunEvent>,
): Promise<SessionEvent[]> => {
    const requests = new AsyncQueue<SessionRequestBatch>();
    batches.forEach(batch => requests.push(batch));
    const events: SessionEvent[] = [];
    const session = runSession({ requests, run, signal: new AbortController().signal });
    const expectedEnds = batches.flatMap(batch =>
        batch.requests.filter(({ request }) => request.case !== "cancel")
    );
    for await (const batch of session) {
        events.push(...batch.events);
        if (events.filter(({ event }) => event.case === "end").length >= expectedEnds.length) {
            requests.close();
        }
    }
    return events;
};

test("each event of a session carries the number of its call", async t => {
    const batch = create(SessionRequestBatchSchema, { requests: [runOf(1), runOf(2)] });
    const events = await collect([batch], async function*(request) {
        yield endOf(request);
    });
    const runs = events.flatMap(({ call, event }) =>
        event.case === "run" ? [[call, event.value.requestId]] : []
    );
    t.deepEqual(runs, [[1, "r1"], [2, "r2"]]);
});

test("a failed call does not affect the other calls of the session", async t => {
    const batch = create(SessionRequestBatchSchema, { requests: [runOf(1), runOf(2)] });
    const events = await collect([batch], async function*(request) {
        if (request.requestId === "r1") {
            throw new Error("broken");
        }
        yield endOf(request);
    });
    const ends = events.flatMap(({ call, event }) => event.case === "end" ? [[call, event.value.error]] : []);
    t.deepEqual(ends.sort(), [[1, "broken"], [2, ""]]);
});

test("a cancel request aborts only its own call", async t => {
    const cancel = { call: 1, request: { case: "cancel", value: {} } } as const;
    const batch = create(SessionRequestBatchSchema, { requests: [runOf(1), runOf(2), cancel] });
    const aborted: string[] = [];
    await collect([batch], async function*(request, signal) {
        await Promise.resolve();
        if (signal.aborted) {
            aborted.push(request.requestId);
        }
        yield endOf(request);
    });
    t.deepEqual(aborted, ["r1"]);
});

test("a request kind of a later release is answered with an error, and the session continues", async t => {
    const batch = create(SessionRequestBatchSchema, { requests: [{ call: 1 }, runOf(2)] });
    const events = await collect([batch], async function*(request) {
        yield endOf(request);
    });
    const ends = events.flatMap(({ call, event }) =>
        event.case === "end" ? [[call, event.value.error !== ""]] : []
    );
    t.deepEqual(ends.sort(), [[1, true], [2, false]]);
});

test("an event with fields of a later release can be decoded", t => {
    const known = toBinary(RunEventSchema, create(RunEventSchema, { requestId: "r1", attempt: 2 }));
    const later = new BinaryWriter().uint32((999 << 3) | 2).string("new").finish();
    const event = fromBinary(RunEventSchema, Buffer.concat([known, later]));
    t.is(event.requestId, "r1");
    t.is(event.event.case, undefined);
});
