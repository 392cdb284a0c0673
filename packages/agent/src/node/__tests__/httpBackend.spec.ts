import { type Address, branded, createSystemClock } from "@magnolialock/kernel";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { createServer, type IncomingMessage, type RequestListener, type ServerResponse } from "node:http";
import { type AddressInfo, createServer as createSocketServer } from "node:net";
import {
    BackendBrokenError,
    type BackendEvent,
    BackendRefusedError,
    type BackendRequest,
} from "../../types/backend.ts";
import { createHttpBackend } from "../httpBackend.ts";

const clock = createSystemClock();

const requestOf = (fields: Partial<BackendRequest> = {}): BackendRequest => ({
    requestId: "r1",
    method: "POST",
    path: "/v1/completions",
    headers: [],
    body: Buffer.from("{}"),
    isModel: true,
    resumeFromToken: 0,
    resumedText: "",
    ...fields,
});

interface Outcome {
    readonly events: BackendEvent[];
    readonly error: unknown;
}

/** Runs one call against an address and collects the parts of the answer. */
const runAt = async (address: Address, request: BackendRequest): Promise<Outcome> => {
    await using backend = createHttpBackend({ address });
    const events: BackendEvent[] = [];
    try {
        for await (const event of backend.run(request, new AbortController().signal)) {
            events.push(event);
        }
        return { events, error: undefined };
    }
    catch (error) {
        return { events, error };
    }
};

/** Runs one call against an HTTP server with the given request handler. */
const runAgainst = async (
    t: ExecutionContext,
    answer: (request: IncomingMessage, response: ServerResponse) => void,
    request: BackendRequest = requestOf(),
): Promise<Outcome> => {
    const server = createServer(answer as RequestListener).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const { port } = server.address() as AddressInfo;
    return runAt(branded<Address>(`127.0.0.1:${port}`), request);
};

const chunk = (text: string, id?: number): string =>
    `${id === undefined ? "" : `id: ${id}\n`}data: ${JSON.stringify({ choices: [{ text }] })}\n\n`;

const streamOf =
    (parts: readonly string[]) => (_request: IncomingMessage, response: ServerResponse): void => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.end(parts.join(""));
    };

const textsOf = ({ events }: Outcome): string =>
    events.flatMap(event => event.kind === "tokens" ? event.texts : []).join("");

test("a completion is complete at its end marker", async t => {
    const outcome = await runAgainst(t, streamOf([chunk("a"), chunk("b"), "data: [DONE]\n\n"]));
    t.is(textsOf(outcome), "ab");
    t.is(outcome.events.at(-1)?.kind, "end");
});

test("a completion without an end marker fails, even if the HTTP response ends normally", async t => {
    const outcome = await runAgainst(t, streamOf([chunk("a")]));
    t.true(outcome.error instanceof BackendBrokenError);
    t.not(outcome.events.at(-1)?.kind, "end");
});

test("a completion whose connection breaks fails after the received tokens", async t => {
    const outcome = await runAgainst(t, (_request, response) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.write(chunk("a"), () => response.destroy());
    });
    t.is(textsOf(outcome), "a");
    t.true(outcome.error instanceof BackendBrokenError);
});

test("duplicate events and events after the end marker are dropped", async t => {
    const parts = [
        chunk("a", 1),
        chunk("b", 2),
        chunk("b", 2),
        chunk("a", 1),
        chunk("c", 3),
        "data: [DONE]\n\n",
    ];
    t.is(textsOf(await runAgainst(t, streamOf([...parts, chunk("late")]))), "abc");
});

test("a completion with a gap in the event numbers fails", async t => {
    const parts = [chunk("a", 1), chunk("c", 3), "data: [DONE]\n\n"];
    t.true((await runAgainst(t, streamOf(parts))).error instanceof BackendBrokenError);
});

test("a plain answer shorter than its content length fails", async t => {
    const server = createSocketServer(socket => {
        socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort"));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const { port } = server.address() as AddressInfo;
    const request = requestOf({ isModel: false, path: "/bookings" });
    const outcome = await runAt(branded<Address>(`127.0.0.1:${port}`), request);
    t.true(outcome.error instanceof BackendBrokenError);
});

test("an answer whose end cannot be distinguished from a broken connection fails", async t => {
    const server = createSocketServer(socket => {
        socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nmaybe whole"));
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const { port } = server.address() as AddressInfo;
    const request = requestOf({ isModel: false, path: "/bookings" });
    const outcome = await runAt(branded<Address>(`127.0.0.1:${port}`), request);
    t.true(outcome.error instanceof BackendBrokenError);
});

for (const coding of ["chunk", "", "identity", "chunked, gzip"]) {
    test(`an answer whose transfer coding was cut or is unknown fails: "${coding}"`, async t => {
        const server = createSocketServer(socket => {
            socket.once(
                "data",
                () => socket.end(`HTTP/1.1 200 OK\r\ntransfer-encoding: ${coding}\r\n\r\n5\r\nwh`),
            );
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        t.teardown(() => void server.close());
        const { port } = server.address() as AddressInfo;
        const request = requestOf({ isModel: false, path: "/bookings" });
        const outcome = await runAt(branded<Address>(`127.0.0.1:${port}`), request);
        t.true(outcome.error instanceof BackendBrokenError);
    });
}

test("a refused connection means that the call did not start", async t => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    const { error } = await runAt(branded<Address>(`127.0.0.1:${port}`), requestOf());
    t.true(error instanceof BackendRefusedError);
    t.false(error instanceof BackendRefusedError && error.isReachable);
});

test("only an error with the not-started header is a refusal, any other is an answer", async t => {
    const refused = await runAgainst(t, (_request, response) => {
        response.writeHead(503, { "x-not-started": "1" }).end();
    });
    t.true(refused.error instanceof BackendRefusedError);
    const failed = await runAgainst(t, (_request, response) => void response.writeHead(500).end("no"));
    t.deepEqual(failed.events.map(({ kind }) => kind), ["head", "body", "end"]);
});

test("headers, body and resume position reach the backend server", async t => {
    let seen = "";
    const request = requestOf({
        body: Buffer.from(JSON.stringify({ prompt: "p" })),
        headers: [["idempotency-key", "k1"], ["connection", "close"]],
        resumeFromToken: 2,
        resumedText: "a b",
    });
    await runAgainst(t, (incoming, response) => {
        const { "idempotency-key": key, "x-request-id": id } = incoming.headers;
        incoming.on("data", bytes => seen += `${bytes} ${key} ${id}`);
        incoming.on("end", () => streamOf(["data: [DONE]\n\n"])(incoming, response));
    }, request);
    t.is(seen, `{"prompt":"p","resume_from_token":2,"resumed_text":"a b"} k1 r1`);
});

/** Server that repeats its earlier answer while the second request of a connection runs. */
const startRepeatingServer = async (t: ExecutionContext, repeatsIds: boolean, isRefusal: boolean) => {
    const runs: string[] = [];
    const headOf = (id: string, text: string, isNotStarted: boolean): string =>
        `HTTP/1.1 ${isNotStarted ? "503 Service Unavailable" : "200 OK"}\r\n`
        + (repeatsIds ? `x-request-id: ${id}\r\n` : "")
        + (isNotStarted ? "x-not-started: 1\r\n" : "")
        + `content-length: ${text.length}\r\n\r\n${text}`;
    const server = createSocketServer(socket => {
        let received = "";
        let earlier: string | undefined;
        socket.on("error", () => {});
        socket.on("data", bytes => {
            received += bytes.toString();
            if (!received.endsWith("{}")) {
                return;
            }
            const id = /x-request-id: (\S+)/i.exec(received)?.[1] ?? "";
            received = "";
            runs.push(id);
            if (earlier !== undefined) {
                socket.write(headOf(earlier, isRefusal ? "" : `of ${earlier}`, isRefusal));
            }
            earlier = id;
            clock.setTimer(50, () => socket.write(headOf(id, `of ${id}`, false)));
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    return { runs, address: branded<Address>(`127.0.0.1:${(server.address() as AddressInfo).port}`) };
};

for (const repeatsIds of [true, false]) {
    for (const isRefusal of [true, false]) {
        const name = `${isRefusal ? "refusal" : "answer"} of a server that ${
            repeatsIds ? "repeats" : "ignores"
        } identifiers`;
        test(`an earlier ${name}, written once more, is not taken for that to the next call`, async t => {
            const { address, runs } = await startRepeatingServer(t, repeatsIds, isRefusal);
            await using backend = createHttpBackend({ address, maxConnections: 1 });
            const bodies: string[] = [];
            const errors: unknown[] = [];
            for (const requestId of ["first", "second", "third"]) {
                let text = "";
                try {
                    const request = requestOf({ requestId, isModel: false });
                    for await (const event of backend.run(request, new AbortController().signal)) {
                        text += event.kind === "body" ? Buffer.from(event.bytes).toString() : "";
                    }
                    bodies.push(`${requestId}: ${text}`);
                }
                catch (error) {
                    errors.push(error);
                }
            }
            t.deepEqual(runs, ["first", "second", "third"]);
            t.false(
                errors.some(error => error instanceof BackendRefusedError),
                "a call that runs is said not to have started",
            );
            t.true(bodies.every(body => /^(\w+): of \1$/.test(body)), bodies.join());
            t.is(bodies.length + errors.length, 3);
        });
    }
}

test("connections to a server that repeats identifiers are kept", async t => {
    const ports = new Set<number | undefined>();
    const server = createServer((incoming, response) => {
        ports.add(incoming.socket.remotePort);
        response.setHeader("x-request-id", String(incoming.headers["x-request-id"]));
        response.end("x");
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const { port } = server.address() as AddressInfo;
    await using backend = createHttpBackend({ address: branded<Address>(`127.0.0.1:${port}`) });
    for (let call = 0; call < 6; call++) {
        for await (const _event of backend.run(requestOf({ isModel: false }), new AbortController().signal)) {
            // Reads the answer to its end.
        }
    }
    // One for the first call, and two that are used in turn: one may not be free yet as the next call comes.
    t.true(ports.size <= 3, `${ports.size} connections`);
});

/** Writes the same text to a response again and again at full speed, until its connection is closed. */
const flood = (response: ServerResponse, text: string): void => {
    const send = (): void => {
        while (!response.destroyed && response.write(text)) {
            // Writes until the buffers are full.
        }
        response.once("drain", send);
    };
    send();
};

const ENDLESS_LINE = "x".repeat(65_536);
const EVENT_STREAM = { "content-type": "text/event-stream" };
/** Time after which an endless answer must have been given up, in milliseconds. */
const GIVE_UP_MS = 3_000;
/** Growth of the memory of this process, which is the server as well, in bytes. */
const MAX_GROWTH_BYTES = 100 * 1024 * 1024;

// Guards against answers without end that end the agent for lack of memory.
for (
    const [name, start, repeat] of [
        ["a data line", "data: ", ENDLESS_LINE],
        ["data lines of one event", "", `data: ${ENDLESS_LINE}\n`],
        ["a comment", ":", ENDLESS_LINE],
    ] as const
) {
    test.serial(`${name} without end is given up`, async t => {
        const startMs = performance.now();
        const startBytes = process.memoryUsage().rss;
        const { error } = await runAgainst(t, (_request, response) => {
            response.writeHead(200, EVENT_STREAM);
            response.write(start);
            flood(response, repeat);
        });
        t.true(error instanceof BackendBrokenError);
        t.true(performance.now() - startMs < GIVE_UP_MS);
        t.true(process.memoryUsage().rss - startBytes < MAX_GROWTH_BYTES);
    });
}

for (const status of [200, 500]) {
    test.serial(`a report of the load without end is given up, status ${status}`, async t => {
        const server = createServer((_request, response) => {
            response.writeHead(status);
            flood(response, ENDLESS_LINE);
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        t.teardown(() => void server.close());
        const { port } = server.address() as AddressInfo;
        await using backend = createHttpBackend({ address: branded<Address>(`127.0.0.1:${port}`) });
        const startBytes = process.memoryUsage().rss;
        await t.throwsAsync(backend.readLoad(AbortSignal.timeout(2 * GIVE_UP_MS)), {
            name: "BodyTooLargeError",
        });
        t.true(process.memoryUsage().rss - startBytes < MAX_GROWTH_BYTES);
    });
}

// Guards against events at full speed that take the time of the agent's other calls.
for (
    const [name, repeat] of [["comments", ":\n\n".repeat(20_000)], [
        "events without tokens",
        'data: {"choices":[{"text":""}]}\n\n'.repeat(1_000),
    ]] as const
) {
    test.serial(`${name} at full speed are read no faster than an engine writes`, async t => {
        const stop = new AbortController();
        clock.setTimer(2_000, () => stop.abort());
        let sentBytes = 0;
        const server = createServer((_request, response) => {
            response.writeHead(200, EVENT_STREAM);
            const send = (): void => {
                do {
                    sentBytes += repeat.length;
                }
                while (!response.destroyed && response.write(repeat));
                response.once("drain", send);
            };
            send();
        }).listen(0, "127.0.0.1");
        await once(server, "listening");
        t.teardown(() => void server.close());
        const { port } = server.address() as AddressInfo;
        await using backend = createHttpBackend({ address: branded<Address>(`127.0.0.1:${port}`) });
        await t.throwsAsync(async () => {
            for await (const _event of backend.run(requestOf(), stop.signal)) {
                // Only the head comes.
            }
        });
        t.true(sentBytes < 16 * 1024 * 1024, `${sentBytes} bytes`);
    });
}
