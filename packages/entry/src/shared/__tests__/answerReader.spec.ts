import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { seedFaults } from "@magnolialock/kernel";
import { createRandomSource } from "@magnolialock/kernel";
import { type RunEvent, RunEventSchema, RunRequestSchema } from "@magnolialock/protocol";
import { createVirtualRuntime, LinkTable, VirtualClock, VirtualNetwork } from "@magnolialock/test-support";
import test from "ava";
import type { AnswerEvent } from "../../types/caller.ts";
import { AnswerReader } from "../answerReader.ts";

type Payload = MessageInitShape<typeof RunEventSchema>["event"];

const tokens = (firstToken: number, ...texts: string[]): Payload => ({
    case: "tokens",
    value: { firstToken, texts },
});

const end = (totalTokens: number): Payload => ({
    case: "end",
    value: { totalTokens, finishReason: "length" },
});

const createEvent = (sequence: number, payload: Payload, requestId = "own", attempt = 2): RunEvent =>
    create(RunEventSchema, { requestId, attempt, sequence, event: payload });

const read = (resumeFromToken: number, events: readonly RunEvent[]) => {
    const random = createRandomSource(1);
    const clock = new VirtualClock();
    const network = new VirtualNetwork({ clock, links: new LinkTable({ random }) });
    const runtime = createVirtualRuntime({ name: "entry", dataCentre: "recife", network, random });
    const received: AnswerEvent[] = [];
    const reader = new AnswerReader({
        runtime,
        request: create(RunRequestSchema, { requestId: "own", attempt: 2, resumeFromToken }),
        consume: event => received.push(event),
    });
    events.forEach(next => reader.read(next));
    const texts = received.flatMap(event => event.kind === "tokens" ? event.texts : []);
    const dropped = runtime.events.recent()
        .filter(({ definition }) => definition.name === "entry.answer.dropped")
        .map(({ fields }) => fields["reason"]);
    return { texts, dropped, outcome: reader.outcome?.kind };
};

const complete = [
    createEvent(0, tokens(0, "a", "b")),
    createEvent(1, tokens(2, "c")),
    createEvent(2, end(3)),
];

test.serial("trace 4: events of other requests and attempts are dropped and counted", t => {
    const crossed = [createEvent(0, tokens(0, "x"), "other"), createEvent(1, tokens(0, "y"), "own", 1)];
    const answer = read(0, [...crossed, ...complete]);
    t.deepEqual(answer, { texts: ["a", "b", "c"], dropped: ["crossed", "crossed"], outcome: "answered" });
    using _fault = seedFaults(["entry.accept-crossed-answer"]);
    t.notDeepEqual(read(0, [...crossed, ...complete]).texts, ["a", "b", "c"]);
});

test.serial("trace 4: duplicate and late events are dropped and counted", t => {
    const [first, second, last] = complete as [RunEvent, RunEvent, RunEvent];
    const answer = read(0, [first, first, second, last, second]);
    t.deepEqual(answer, { texts: ["a", "b", "c"], dropped: ["duplicate", "late"], outcome: "answered" });
});

test.serial("a missing event, a missing token or too few tokens make the answer fail", t => {
    const [first, second, last] = complete as [RunEvent, RunEvent, RunEvent];
    t.is(read(0, [first, last]).outcome, "unreachable");
    t.is(read(0, [createEvent(0, tokens(1, "b"))]).outcome, "unreachable");
    t.is(read(0, [first, second, createEvent(2, end(4))]).outcome, "unreachable");
});

test.serial("a resumed answer that starts too early delivers no token twice", t => {
    const answer = read(2, [createEvent(0, tokens(1, "b", "c")), createEvent(1, end(3))]);
    t.deepEqual(answer, { texts: ["c"], dropped: [], outcome: "answered" });
});
