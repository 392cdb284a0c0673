import { type Address, createSystemClock } from "@magnolialock/kernel";
import {
    ALL_FRAMINGS,
    bareLineFeeds,
    closedOffAnswers,
    type CutAnswer,
    cutAnswers,
} from "@magnolialock/test-support";
import test from "ava";
import type { Socket } from "node:net";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { responseHead, startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
/** Pause between the last byte and the end of a connection, in milliseconds. */
const PAUSE_MS = 8;
/** Requests that one entry serves: each may cost a retry, of which it has few at once. */
const REQUESTS_PER_ENTRY = 4;
/** Requests that one entry serves if none of them is retried. */
const ONCE_REQUESTS_PER_ENTRY = 24;
/** Of the cuts, one in so many is made with each other end of the connection. */
const SAMPLE = 13;

/** How a server ends the connection after the last byte. */
type End = "close" | "close later" | "reset" | "reset later";

const ENDS: readonly End[] = ["close", "close later", "reset", "reset later"];
const EVENTS = "id: 1\ndata: x\n\n";

interface Scenario {
    readonly end: End;
    /** Whether the cut answer comes on a connection that has carried a complete one. */
    readonly isKept: boolean;
    readonly isStream: boolean;
    readonly before?: string;
}

/** What the servers of one entry share. */
interface Shared extends Scenario {
    /** Answer to the first attempt of the next request. */
    cut: string;
    /** Requests that were cut off. */
    cuts: number;
    /** Those of them that came on a connection in use again. */
    keptCuts: number;
    readonly tried: Set<string>;
}

const typeOf = (isStream: boolean): string =>
    `content-type: ${isStream ? "text/event-stream" : "text/plain"}\r\n`;

/** Answers the first attempt of a request with a part of an answer, each other one well. */
class CuttingServer extends RawServer {
    public constructor(private readonly shared: Shared) {
        super();
    }

    protected serve(socket: Socket): void {
        let received = "";
        let answered = 0;
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (!received.endsWith("body")) {
                return;
            }
            const id = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
            const isGood = received.includes("/good/");
            received = "";
            if (isGood || this.shared.tried.has(id)) {
                answered++;
                this.answerWell(socket, id, isGood);
                return;
            }
            this.shared.tried.add(id);
            this.shared.cuts++;
            this.shared.keptCuts += answered > 0 ? 1 : 0;
            this.cutOff(socket, (this.shared.before ?? "") + this.shared.cut.replaceAll("ID", id));
        });
    }

    private answerWell(socket: Socket, id: string, isGood: boolean): void {
        const { isKept, isStream } = this.shared;
        const body = isStream && !isGood ? EVENTS : "whole";
        const connection = isKept && isGood ? "" : "connection: close\r\n";
        const length = `content-length: ${body.length}\r\n`;
        socket.write(responseHead(id, typeOf(isStream && !isGood) + connection + length) + body);
    }

    private cutOff(socket: Socket, bytes: string): void {
        const finish = (): void => {
            if (this.shared.end.startsWith("reset")) {
                socket.resetAndDestroy();
            }
            else {
                socket.end();
            }
        };
        if (this.shared.end.endsWith("later")) {
            socket.write(bytes, "latin1");
            clock.setTimer(PAUSE_MS, finish);
        }
        else if (this.shared.end === "reset") {
            socket.write(bytes, "latin1", finish);
        }
        else {
            socket.end(bytes, "latin1");
        }
    }
}

/** Sends a request; returns its status and body, or what broke. */
const ask = async (callers: Address, name: string, requestId: string): Promise<string> => {
    try {
        const answer = await request(`http://${callers}/${name}/1`, {
            method: "POST",
            body: "body",
            headers: {
                host: "shop.example",
                [NAMES.requestId]: requestId,
                [NAMES.remainingMs]: "3000",
                [NAMES.apiKey]: "key-1",
            },
        });
        const text = await answer.body.text();
        return answer.statusCode === 200 ? `200 ${text}` : `${answer.statusCode} ${text}`;
    }
    catch {
        return "broken off";
    }
};

const fieldsOf = (isStream: boolean): string =>
    `${NAMES.requestId}: ID\r\n${NAMES.signature}: signed\r\n${typeOf(isStream)}`;

/** Sends one request for each answer; returns the answers to callers that differ from the expected one. */
const askAll = async (name: string, expected: string, answers: readonly CutAnswer[], scenario: Scenario) => {
    const wrong: string[] = [];
    let cuts = 0;
    let keptCuts = 0;
    const perEntry = name.startsWith("once") ? ONCE_REQUESTS_PER_ENTRY : REQUESTS_PER_ENTRY;
    for (let start = 0; start < answers.length; start += perEntry) {
        const shared: Shared = { ...scenario, cut: "", cuts: 0, keptCuts: 0, tried: new Set() };
        await using first = new CuttingServer(shared);
        await using second = new CuttingServer(shared);
        const { callers, entry } = await startEntry(await first.listen(), await second.listen());
        await using _entry = entry;
        for (const [index, answer] of answers.slice(start, start + perEntry).entries()) {
            // A good answer in between keeps the servers from being left out.
            await ask(callers, "good", `good-${index}`);
            shared.cut = answer.bytes;
            const received = await ask(callers, name, `cut-${index}`);
            if (received !== expected && received.slice(0, 3) !== expected) {
                wrong.push(`${answer.name}: ${received}`);
            }
        }
        cuts += shared.cuts;
        keptCuts += shared.keptCuts;
    }
    return { wrong, cuts, keptCuts };
};

const answersOf = (isStream: boolean): CutAnswer[] => {
    const fields = fieldsOf(isStream);
    return [
        ...ALL_FRAMINGS.flatMap(framing => cutAnswers(framing, fields)),
        ...ALL_FRAMINGS.flatMap(framing => closedOffAnswers(framing, fields)),
        ...bareLineFeeds(fields),
    ];
};

const ROUTES = {
    whole: { expected: "200 whole", isStream: false },
    once: { expected: "502", isStream: false },
    stream: { expected: `200 ${EVENTS}`, isStream: true },
    "once-stream": { expected: "502", isStream: true },
} as const;

const INTERIM_HEADS = {
    "100": "HTTP/1.1 100 Continue\r\n\r\n",
    "103": "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
    "own 103": `HTTP/1.1 103 Early Hints\r\n${fieldsOf(false)}\r\n`,
    "own closing 103": `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n${fieldsOf(false)}\r\n`,
};

for (const name of ["once", "once-stream"] as const) {
    const { expected, isStream } = ROUTES[name];
    const answers = answersOf(isStream);
    const sample = answers.filter((_, index) => index % SAMPLE === 0);

    test.serial(`an answer that is cut off at any byte is no answer: ${name}`, async t => {
        const { cuts, wrong } = await askAll(name, expected, answers, {
            end: "close",
            isKept: false,
            isStream,
        });
        t.deepEqual(wrong, []);
        t.is(cuts, answers.length);
    });

    for (const end of ENDS) {
        test.serial(`an answer on a kept connection that is cut off is no answer: ${name}, ${end}`, async t => {
            const { cuts, keptCuts, wrong } = await askAll(name, expected, sample, {
                end,
                isKept: true,
                isStream,
            });
            t.deepEqual(wrong, []);
            t.is(cuts, sample.length);
            t.true(keptCuts > 0, "no connection was kept, so nothing was tested");
        });
    }

    for (const [kind, before] of Object.entries(INTERIM_HEADS)) {
        test.serial(`an answer that is cut off after an interim head is no answer: ${name}, ${kind}`, async t => {
            const scenario = { end: "close later", isKept: false, isStream, before } as const;
            t.deepEqual((await askAll(name, expected, sample, scenario)).wrong, []);
        });
    }
}

for (const name of ["whole", "stream"] as const) {
    const { expected, isStream } = ROUTES[name];

    test.serial(`a request that may be repeated goes to another server if its answer is cut off: ${name}`, async t => {
        const answers = answersOf(isStream).filter((_, index) => index % SAMPLE === 0);
        const { wrong } = await askAll(name, expected, answers, { end: "close", isKept: false, isStream });
        t.deepEqual(wrong, []);
    });
}

test.serial("an answer without a length that has a body, or whose status has none, is complete", async t => {
    const head = responseHead("ID", typeOf(false));
    for (
        const [bytes, expected] of [[`${head}whole`, "200 whole"], [
            head.replace("200 OK", "204 No Content"),
            "204",
        ]]
    ) {
        const scenario = { end: "close", isKept: false, isStream: false } as const;
        const { cuts, wrong } = await askAll(
            "once",
            expected ?? "",
            [{ name: "whole", bytes: bytes ?? "" }],
            scenario,
        );
        t.deepEqual(wrong, []);
        t.is(cuts, 1);
    }
});
