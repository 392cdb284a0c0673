/** Streams that break off after they have begun, and what the next server answers to the attempt to continue them. */

import { type Address, createSystemClock, sleep, splitAddress } from "@magnolialock/kernel";
import test, { type ExecutionContext } from "ava";
import { connect, type Socket } from "node:net";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
/** Pause between the parts that a server sends, and before the end of its connection, in milliseconds. */
const PAUSE_MS = 15;
const MAX_WAIT_MS = 3_000;
const LAST_EVENT = 7;

/** What a server sends, and how it ends the connection. */
interface Script {
    /** Parts that are written one after another; `{id}` stands for the identifier of the request. */
    readonly parts: readonly string[];
    readonly end: "close" | "reset" | "keep";
}

/** What the next server sends. */
interface NextScript extends Script {
    /** Whether the stream is whole then. */
    readonly isWhole?: boolean;
}

const events = (from: number, to: number): string =>
    Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: x\n\n`).join("");
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const LAST_CHUNK = "0\r\n\r\n";
const OWN = `${NAMES.requestId}: {id}\r\n`;
const SIGNED = `${OWN}${NAMES.signature}: signed\r\n`;
const EVENT_STREAM = "content-type: text/event-stream\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n";
const streamHead = (fields: string): string => `HTTP/1.1 200 OK\r\n${SIGNED}${EVENT_STREAM}${fields}\r\n`;
const framed = (status: string, fields: string, body: string): string =>
    `HTTP/1.1 ${status}\r\n${fields}content-length: ${body.length}\r\n\r\n${body}`;
const keep = (...parts: readonly string[]): Script => ({ parts, end: "keep" });
const streamOf = (body: string): Script => keep(streamHead(CHUNKED), chunk(body) + LAST_CHUNK);

const BETWEEN = events(1, 3);
const WITHIN = `${events(1, 3)}id: 4\nda`;
/** How the first server breaks off, after its event 3. */
const BREAKS = {
    "chunks, closed between events": {
        parts: [streamHead(CHUNKED), chunk(BETWEEN)],
        end: "close",
    },
    "chunks, closed within an event": { parts: [streamHead(CHUNKED), chunk(WITHIN)], end: "close" },
    "chunks, reset between events": { parts: [streamHead(CHUNKED), chunk(BETWEEN)], end: "reset" },
    "chunks, reset within an event": { parts: [streamHead(CHUNKED), chunk(WITHIN)], end: "reset" },
    "chunks, closed within a chunk": { parts: [streamHead(CHUNKED), `fff\r\n${WITHIN}`], end: "close" },
    "chunks, an error head instead of the next chunk": {
        parts: [
            streamHead(CHUNKED),
            chunk(BETWEEN),
            framed("500 Internal Server Error", SIGNED, "broken\n\n"),
        ],
        end: "close",
    },
    "a length, closed between events": {
        parts: [streamHead("content-length: 500\r\n"), BETWEEN],
        end: "close",
    },
    "a length, closed within an event": {
        parts: [streamHead("content-length: 500\r\n"), WITHIN],
        end: "close",
    },
    "a length, reset within an event": {
        parts: [streamHead("content-length: 500\r\n"), WITHIN],
        end: "reset",
    },
    "no length, closed within an event": {
        parts: [streamHead("connection: close\r\n"), WITHIN],
        end: "close",
    },
    "no length, reset between events": {
        parts: [streamHead("connection: close\r\n"), BETWEEN],
        end: "reset",
    },
} as const satisfies Record<string, Script>;

const ERROR_TEXT = "Internal Server Error\n\n";
const notRun = `${OWN}${NAMES.notRun}: 1\r\n`;
const PIECES = framed("500 Internal Server Error", SIGNED, ERROR_TEXT).split(/(?<=\r\n)/);
/** What the next server answers; whether the stream is whole then, if it can be resumed. */
const NEXT: Readonly<Record<string, NextScript>> = {
    "200 with a plain body": keep(
        framed("200 OK", `${SIGNED}content-type: text/plain\r\n`, ERROR_TEXT),
    ),
    "200 with a plain body in chunks": keep(
        `HTTP/1.1 200 OK\r\n${SIGNED}content-type: text/html\r\n${CHUNKED}\r\n`,
        chunk(ERROR_TEXT) + LAST_CHUNK,
    ),
    "200 with a plain body and no length": {
        parts: [`HTTP/1.1 200 OK\r\n${SIGNED}content-type: text/plain\r\n\r\n`, ERROR_TEXT],
        end: "close",
    },
    "200 without a type": keep(framed("200 OK", SIGNED, ERROR_TEXT)),
    "200 with an empty plain body": keep(framed("200 OK", `${SIGNED}content-type: text/plain\r\n`, "")),
    "200 with events but no signature": keep(framed("200 OK", `${OWN}${EVENT_STREAM}`, events(4, 7))),
    "a stream that goes on": { ...streamOf(events(4, 7)), isWhole: true },
    "a stream that goes on, in pieces": {
        ...keep(streamHead(CHUNKED), ...(events(4, 7).match(/[^]{1,9}/g) ?? []).map(chunk), LAST_CHUNK),
        isWhole: true,
    },
    "a stream that goes on with its length": {
        ...keep(framed("200 OK", `${SIGNED}${EVENT_STREAM}`, events(4, 7))),
        isWhole: true,
    },
    "a stream that goes on without a length": {
        parts: [streamHead("connection: close\r\n"), events(4, 7)],
        end: "close",
        isWhole: true,
    },
    "a stream that goes on after an unnumbered comment": {
        ...streamOf(`: hold\n\n${events(4, 7)}`),
        isWhole: true,
    },
    "a stream that begins anew": streamOf(events(1, 7)),
    "a stream that repeats an event": streamOf(events(3, 7)),
    "a stream that leaves one out": streamOf(events(5, 7)),
    "a stream that goes on and then repeats": streamOf(events(4, 5) + events(4, 7)),
    "a stream that goes on and then ends within an event": streamOf(`${events(4, 5)}id: 6\n`),
    "a stream of events without identifiers": streamOf("data: x\n\n".repeat(7)),
    "a stream with an error as its event": streamOf(`event: error\ndata: {"error":"broken"}\n\n`),
    "a stream with an end mark only": streamOf("data: [DONE]\n\n"),
    "a stream with the text of an error": streamOf(ERROR_TEXT),
    "a stream with the head of an error": streamOf(
        `HTTP/1.1 500 Internal Server Error\r\ncontent-length: 6\r\n\r\nbroken\n\n`,
    ),
    "204 without a body": keep(`HTTP/1.1 204 No Content\r\n${SIGNED}\r\n`),
    "206 with events": keep(framed("206 Partial Content", `${SIGNED}${EVENT_STREAM}`, events(4, 7))),
    "307 to another place": keep(
        framed("307 Temporary Redirect", `${SIGNED}location: http://127.0.0.1:1/\r\n`, ERROR_TEXT),
    ),
    "400 with the signature": keep(framed("400 Bad Request", SIGNED, ERROR_TEXT)),
    "400 with events": keep(framed("400 Bad Request", `${SIGNED}${EVENT_STREAM}`, events(4, 7))),
    "404 without the signature": keep(framed("404 Not Found", OWN, ERROR_TEXT)),
    "409 without an identifier": keep(framed("409 Conflict", "", ERROR_TEXT)),
    "500 with the signature": keep(framed("500 Internal Server Error", SIGNED, ERROR_TEXT)),
    "500 without the signature": keep(framed("500 Internal Server Error", OWN, ERROR_TEXT)),
    "500 with events": keep(
        framed("500 Internal Server Error", `${SIGNED}${EVENT_STREAM}`, events(4, 7)),
    ),
    "500 without a length": {
        parts: [`HTTP/1.1 500 Internal Server Error\r\n${SIGNED}\r\n`, ERROR_TEXT],
        end: "close",
    },
    "500 in pieces": keep(...PIECES),
    "500 that breaks off within its head": { parts: PIECES.slice(0, 2), end: "close" },
    "500 that breaks off within its body": { parts: [PIECES.join("").slice(0, -5)], end: "reset" },
    "504 with the signature": keep(framed("504 Gateway Timeout", SIGNED, ERROR_TEXT)),
    ...Object.fromEntries(
        ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"].flatMap(status => [
            [`${status} with "not run"`, keep(framed(status, notRun, ERROR_TEXT))],
            [`${status} without "not run"`, keep(framed(status, OWN, ERROR_TEXT))],
            [`${status} without an identifier`, keep(framed(status, "", ERROR_TEXT))],
        ]),
    ),
    "103, then a stream that goes on": {
        ...keep("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n", ...streamOf(events(4, 7)).parts),
        isWhole: true,
    },
    "103, then 500": keep(
        `HTTP/1.1 103 Early Hints\r\n${SIGNED}${EVENT_STREAM}\r\n`,
        framed("500 Internal Server Error", SIGNED, ERROR_TEXT),
    ),
    '103 with "not run", then 500': keep(
        `HTTP/1.1 103 Early Hints\r\n${notRun}\r\n`,
        framed("500 Internal Server Error", SIGNED, ERROR_TEXT),
    ),
    "100, then 500": keep(
        `HTTP/1.1 100 Continue\r\n\r\n`,
        framed("500 Internal Server Error", SIGNED, ERROR_TEXT),
    ),
    "bytes that are no answer": { parts: [ERROR_TEXT], end: "close" },
    "nothing, closed": { parts: [], end: "close" },
    "nothing, reset": { parts: [], end: "reset" },
};

/** Gives its answers in turn; requests to the route `good` get their own answer. */
class ScriptedServer extends RawServer {
    public constructor(private readonly scripts: Script[], private readonly requests: string[]) {
        super();
    }

    protected serve(socket: Socket): void {
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (received.endsWith("body")) {
                this.requests.push(received);
                void this.answer(socket, received);
                received = "";
            }
        });
    }

    private async answer(socket: Socket, received: string): Promise<void> {
        const requestId = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
        const script = received.startsWith("POST /good/")
            ? keep(framed("200 OK", SIGNED, "good"))
            : this.scripts.shift() ?? { parts: [], end: "reset" };
        for (const part of script.parts) {
            socket.write(part.replaceAll("{id}", requestId));
            await sleep(clock, PAUSE_MS);
        }
        if (script.end === "reset") {
            socket.resetAndDestroy();
        }
        else if (script.end === "close") {
            socket.end();
        }
    }
}

/** A caller that reads the bytes of its connection. */
class RawCaller implements Disposable {
    public text = "";
    public end: "open" | "close" | "reset" = "open";
    private readonly socket: Socket;
    public constructor(callers: Address) {
        const { host, port } = splitAddress(callers);
        this.socket = connect(port, host);
        this.socket.on("data", bytes => this.text += bytes.toString("latin1"));
        this.socket.once("end", () => this.end = this.end === "open" ? "close" : this.end);
        this.socket.once("error", () => this.end = "reset");
    }

    public send(name: string, requestId: string, version = "1.1"): void {
        const fields = {
            host: "shop.example",
            [NAMES.requestId]: requestId,
            [NAMES.remainingMs]: "3000",
            [NAMES.apiKey]: "key-1",
        };
        const lines = Object.entries(fields).map(([field, value]) => `${field}: ${value}\r\n`).join("");
        this.socket.write(`POST /${name}/1 HTTP/${version}\r\n${lines}content-length: 4\r\n\r\nbody`);
    }

    /** Waits until the text matches or the connection has ended. */
    public async until(pattern: RegExp): Promise<void> {
        const endMs = clock.nowMs() + MAX_WAIT_MS;
        while (this.end === "open" && !pattern.test(this.text) && clock.nowMs() < endMs) {
            await sleep(clock, 2);
        }
    }

    public [Symbol.dispose](): void {
        this.socket.destroy();
    }
}

/** Decodes an answer from its bytes and the end of its connection; bytes that are no chunk stay in `rest`. */
const decode = ({ end, text }: RawCaller) => {
    const headEnd = text.indexOf("\r\n\r\n") + 4;
    const head = text.slice(0, headEnd);
    let rest = text.slice(headEnd);
    if (!/content-length|transfer-encoding/i.test(head)) {
        return { head, body: rest, rest: "", isEnded: end === "close" };
    }
    let body = "";
    for (let size = /^([\da-f]+)\r\n/.exec(rest); size; size = /^([\da-f]+)\r\n/.exec(rest)) {
        const from = size[0].length;
        const to = from + Number.parseInt(size[1] as string, 16);
        if (to === from) {
            return { head, body, rest: rest.slice(from + 2), isEnded: true };
        }
        body += rest.slice(from, to);
        rest = rest.slice(to + 2);
    }
    return { head, body, rest, isEnded: false };
};

/** Whole events in order: the text of the events from 1 to some number. */
const lastOf = (body: string): number | undefined =>
    [0, 1, 2, 3, 4, 5, 6, 7].find(last => body.replace(": hold\n\n", "") === events(1, last));

const startServers = async (scripts: readonly Script[]) => {
    const queue = [...scripts];
    const requests: string[] = [];
    const first = new ScriptedServer(queue, requests);
    const second = new ScriptedServer(queue, requests);
    const { entry, callers } = await startEntry(await first.listen(), await second.listen());
    return {
        callers,
        requests,
        [Symbol.asyncDispose]: async () => {
            await entry[Symbol.asyncDispose]();
            await first[Symbol.asyncDispose]();
            await second[Symbol.asyncDispose]();
        },
    };
};

const askBoth = async (
    t: ExecutionContext,
    route: string,
    breakName: string,
    first: Script,
    next: NextScript,
) => {
    const isWhole = route === "stream" && next.isWhole === true;
    await using fleet = await startServers([first, next]);
    using caller = new RawCaller(fleet.callers);
    caller.send(route, "r1");
    await caller.until(/\r\n0\r\n\r\n/);
    const { head, body, rest, isEnded } = decode(caller);
    const seen = `${breakName}: ${caller.end} ${JSON.stringify(caller.text)}`;
    t.regex(head, /^HTTP\/1\.1 200 /, seen);
    t.is(rest, "", seen);
    t.true((lastOf(body) ?? 0) >= 3, seen);
    t.is(isEnded, isWhole, seen);
    t.is(lastOf(body) === LAST_EVENT, isWhole, seen);
    t.is(fleet.requests.length, route === "stream" ? 2 : 1, seen);
    if (!isEnded) {
        t.not(caller.end, "open", seen);
        return;
    }
    if (caller.end === "open") {
        caller.text = "";
        caller.send("good", "r2");
        await caller.until(/good$/);
        t.regex(caller.text, /^HTTP\/1\.1 200 OK\r\n[^]*\r\n\r\ngood$/);
        t.regex(caller.text, new RegExp(`${NAMES.requestId}: r2\r\n`, "i"));
    }
};

for (const [nextName, next] of Object.entries(NEXT)) {
    test.serial(`what follows a broken stream is never mixed into it: ${nextName}`, async t => {
        for (const [breakName, first] of Object.entries<Script>(BREAKS)) {
            await askBoth(t, "stream", breakName, first, next);
        }
    });
}

test.serial("a broken stream that cannot be resumed never looks whole, and nothing follows it", async t => {
    for (const [breakName, first] of Object.entries<Script>(BREAKS)) {
        await askBoth(t, "once-stream", breakName, first, streamOf(events(4, 7)));
    }
});

test.serial("a stream whose events have no identifiers is not begun anew within itself", async t => {
    const unnumbered = "data: x\n\n".repeat(3);
    const first: Script = { parts: [streamHead(CHUNKED), chunk(unnumbered)], end: "close" };
    await using fleet = await startServers([first, streamOf(`${unnumbered}data: y\n\n`)]);
    using caller = new RawCaller(fleet.callers);
    caller.send("stream", "r1");
    await caller.until(/\r\n0\r\n\r\n/);
    const { body, isEnded } = decode(caller);
    t.is(body, unnumbered, caller.text);
    t.false(isEnded, caller.text);
    t.is(fleet.requests.length, 1);
});

// Guards against half of a stream that ends as all streams do which have neither a length nor chunks.
test.serial("a stream that breaks off does not look whole to a caller of HTTP/1.0", async t => {
    for (const [breakName, first] of Object.entries<Script>(BREAKS)) {
        await using fleet = await startServers([first]);
        using caller = new RawCaller(fleet.callers);
        caller.send("once-stream", "r1", "1.0");
        await caller.until(/\r\n0\r\n\r\n/);
        t.regex(caller.text, /^HTTP\/1.1 502 /, `${breakName}: ${JSON.stringify(caller.text)}`);
    }
});

test.serial("a caller of HTTP/1.0 cannot tell when a stream is whole", async t => {
    for (const script of [streamOf(events(1, 7)), NEXT["a stream that goes on without a length"]]) {
        await using fleet = await startServers([script as Script]);
        using caller = new RawCaller(fleet.callers);
        caller.send("once-stream", "r1", "1.0");
        await caller.until(/never/);
        const [head = "", body = ""] = caller.text.split("\r\n\r\n", 1).concat(
            caller.text.slice(caller.text.indexOf("\r\n\r\n") + 4),
        );
        t.is(caller.end, "close");
        t.regex(head, /^HTTP\/1.1 200 /);
        t.regex(head, new RegExp(`content-length: ${body.length}`, "i"));
        t.true(body.endsWith(events(4, 7)));
    }
});
