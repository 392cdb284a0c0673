import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import type { Socket } from "node:net";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { responseHead, startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
const LINE = `x-filler: ${"x".repeat(1_000)}\r\n`;
const FILLER = "x".repeat(16_384);
/** Time after which a server's endless response must have been given up, in milliseconds. */
const GIVE_UP_MS = 4_000;
/** Bytes of one endless response that a server may send, the buffers of the sockets included. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;
/** Growth of the memory of the process that carries the entry and the server, in bytes. */
const MAX_GROWTH_BYTES = 120 * 1024 * 1024;
/** Requests of each kind that meet the faulty server at the same time. */
const REQUESTS_PER_KIND = 15;

/** What a server sends for each request, and what it repeats until the connection is closed. */
interface EndlessAnswer {
    readonly start: (requestId: string) => string;
    readonly repeat: string;
    /** Pause between two repetitions, in milliseconds; none by default. */
    readonly pauseMs?: number;
}

const ANSWERS = {
    "a head line": { start: () => "HTTP/1.1 200 OK\r\nx-filler: ", repeat: FILLER },
    "head lines": { start: () => "HTTP/1.1 200 OK\r\n", repeat: LINE },
    "interim heads": {
        start: () => "",
        repeat: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(400),
    },
    "bytes that are no HTTP": { start: () => "", repeat: FILLER },
    "a body without a length": { start: id => responseHead(id, "connection: close\r\n"), repeat: FILLER },
    "a slow body without a length": {
        start: id => responseHead(id, "connection: close\r\n"),
        repeat: "x",
        pauseMs: 100,
    },
    "a slow head": { start: () => "HTTP/1.1 200 OK\r\nx-filler: ", repeat: "x", pauseMs: 100 },
    "a chunked body": {
        start: id => responseHead(id, "transfer-encoding: chunked\r\n"),
        repeat: `4000\r\n${FILLER}\r\n`,
    },
    trailers: { start: id => `${responseHead(id, "transfer-encoding: chunked\r\n")}0\r\n`, repeat: LINE },
    "an event": {
        start: id => responseHead(id, "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"),
        repeat: `4000\r\n${FILLER}\r\n`,
    },
} as const satisfies Record<string, EndlessAnswer>;

/** Server that answers `/good/` properly and everything else with bytes without end. */
class EndlessServer extends RawServer {
    /** Bytes of the response of which most was sent. */
    public mostSentBytes = 0;
    /** Endless responses that have not been given up. */
    public open = 0;
    public constructor(private readonly answer: EndlessAnswer) {
        super();
    }

    protected serve(socket: Socket): void {
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (!received.endsWith("body")) {
                return;
            }
            const requestId = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
            if (received.includes("/good/")) {
                socket.write(`${responseHead(requestId, "content-length: 4\r\n")}good`);
                received = "";
                return;
            }
            received = "";
            this.flood(socket, requestId);
        });
    }

    private flood(socket: Socket, requestId: string): void {
        this.open++;
        socket.once("close", () => {
            this.open--;
        });
        socket.write(this.answer.start(requestId));
        let sentBytes = 0;
        const { pauseMs, repeat } = this.answer;
        const send = (): void => {
            while (!socket.destroyed && socket.writable) {
                sentBytes += repeat.length;
                this.mostSentBytes = Math.max(this.mostSentBytes, sentBytes);
                const isWritten = socket.write(repeat);
                if (pauseMs !== undefined) {
                    clock.setTimer(pauseMs, send);
                    return;
                }
                if (!isWritten) {
                    socket.once("drain", send);
                    return;
                }
            }
        };
        send();
    }
}

/** Returns the status, or undefined if the connection was broken off. */
const ask = async (callers: Address, name: string, requestId: string): Promise<number | undefined> => {
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
        await answer.body.text();
        return answer.statusCode;
    }
    catch {
        return undefined;
    }
};

for (const [name, answer] of Object.entries(ANSWERS)) {
    test.serial(`a server that sends ${name} without end is given up and fills no memory`, async t => {
        await using server = new EndlessServer(answer);
        const { entry, callers } = await startEntry(await server.listen());
        await using _entry = entry;
        t.is(await ask(callers, "good", "good-0"), 200);
        const startMs = performance.now();
        const startBytes = process.memoryUsage().rss;
        let peakBytes = startBytes;
        const stopSampling = new AbortController();
        const sample = async (): Promise<void> => {
            while (!stopSampling.signal.aborted) {
                peakBytes = Math.max(peakBytes, process.memoryUsage().rss);
                await new Promise(resolve => clock.setTimer(20, () => resolve(undefined)));
            }
        };
        void sample();
        const endless = ["whole", "once", "stream"].flatMap(kind =>
            Array.from({ length: REQUESTS_PER_KIND }, (_, index) => ask(callers, kind, `${kind}-${index}`))
        );
        const statuses = await Promise.all(endless);
        stopSampling.abort();
        while (server.open > 0 && performance.now() - startMs < GIVE_UP_MS) {
            await new Promise(resolve => clock.setTimer(20, () => resolve(undefined)));
        }
        t.is(server.open, 0, "connections that are still open");
        t.true(performance.now() - startMs < GIVE_UP_MS);
        t.false(statuses.includes(200), statuses.join());
        t.false(statuses.includes(503), "a request that has run is not refused");
        t.true(server.mostSentBytes <= MAX_SENT_BYTES, `${server.mostSentBytes} bytes of one answer`);
        const growthBytes = peakBytes - startBytes;
        t.true(growthBytes <= MAX_GROWTH_BYTES, `${growthBytes} bytes more memory`);
    });
}
