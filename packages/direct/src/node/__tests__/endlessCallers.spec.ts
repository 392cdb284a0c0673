/** Guards against callers that send without end at full speed and keep the process from its other callers. */

import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import type { Socket } from "node:net";
import { Worker } from "node:worker_threads";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { responseHead, startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
const FLOODING_CALLERS = 4;
const ASKED_MS = 3_000;
/** Longest time that other callers wait for an answer: what the users' status reads have beside their server's work, in milliseconds. */
const MAX_USUAL_MS = 100;
const USUAL_SHARE = 0.95;
const MAX_ANY_MS = 1_000;
/** Bytes that one caller may send, the buffers of the sockets included. */
const MAX_SENT_BYTES = 32 * 1024 * 1024;
const MAX_GROWTH_BYTES = 120 * 1024 * 1024;

const FLOODER = `
const { connect } = require("node:net");
const { parentPort, workerData: { count, host, port, repeat, start } } = require("node:worker_threads");
const state = { mostSentBytes: 0, open: 0 };
for (let index = 0; index < count; index++) {
    let sent = 0;
    const socket = connect(port, host);
    socket.on("error", () => {});
    socket.resume();
    socket.once("connect", () => {
        state.open++;
        socket.once("close", () => state.open--);
        socket.write(start);
        const send = () => {
            while (!socket.destroyed && socket.writable) {
                sent += repeat.length;
                state.mostSentBytes = Math.max(state.mostSentBytes, sent);
                if (!socket.write(repeat)) {
                    socket.once("drain", send);
                    return;
                }
            }
        };
        send();
    });
}
parentPort.on("message", () => parentPort.postMessage({ ...state }));
parentPort.postMessage("started");
`;

class GoodServer extends RawServer {
    protected serve(socket: Socket): void {
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (received.endsWith("body")) {
                const requestId = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
                received = "";
                socket.write(`${responseHead(requestId, "content-length: 4\r\n")}good`);
            }
        });
    }
}

const FILLER = "x".repeat(16_384);
const FIELDS =
    `host: shop.example\r\n${NAMES.requestId}: flood\r\n${NAMES.remainingMs}: 3000\r\n${NAMES.apiKey}: key-1\r\n`;
const POST = `POST /once/1 HTTP/1.1\r\n${FIELDS}`;
const CHUNKED = `${POST}transfer-encoding: chunked\r\n\r\n`;

const FLOODS: Readonly<Record<string, { readonly start: string; readonly repeat: string; }>> = {
    "a request line": { start: "POST /", repeat: FILLER },
    "head lines": { start: POST, repeat: `x-filler: ${"x".repeat(1_000)}\r\n` },
    "a body": { start: CHUNKED, repeat: `4000\r\n${FILLER}\r\n` },
    "a body with a length": { start: `${POST}content-length: 1000000000000\r\n\r\n`, repeat: FILLER },
    "chunks of one byte": { start: CHUNKED, repeat: "1\r\nx\r\n".repeat(3_000) },
    "a chunk size": { start: CHUNKED, repeat: "0".repeat(16_384) },
    "a chunk extension": { start: `${CHUNKED}4;`, repeat: FILLER },
    "chunk extensions": { start: CHUNKED, repeat: `1;${"x".repeat(1_000)}\r\nx\r\n` },
    trailers: { start: `${CHUNKED}0\r\n`, repeat: `x-filler: ${"x".repeat(1_000)}\r\n` },
    "empty lines": { start: "", repeat: "\r\n".repeat(8_000) },
    "requests before they are answered": {
        start: "",
        repeat: `${POST}content-length: 4\r\n\r\nbody`.repeat(50),
    },
    "bytes that are no HTTP": { start: "", repeat: FILLER },
};

const askGood = async (callers: Address, requestId: string): Promise<number> => {
    const answer = await request(`http://${callers}/good/1`, {
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
};

for (const [name, flood] of Object.entries(FLOODS)) {
    test.serial(`other callers do not notice callers that send ${name} without end`, async t => {
        await using server = new GoodServer();
        const { entry, callers } = await startEntry(await server.listen());
        await using _entry = entry;
        t.is(await askGood(callers, "good"), 200);
        const [host, port] = callers.split(":");
        const startBytes = process.memoryUsage().rss;
        const worker = new Worker(FLOODER, {
            eval: true,
            execArgv: [],
            workerData: { ...flood, count: FLOODING_CALLERS, host, port: Number(port) },
        });
        t.teardown(() => worker.terminate());
        await once(worker, "message");
        const startMs = performance.now();
        const waitsMs: number[] = [];
        while (performance.now() - startMs < ASKED_MS) {
            const askedMs = performance.now();
            t.is(await askGood(callers, `good-${waitsMs.length}`), 200);
            waitsMs.push(performance.now() - askedMs);
            await new Promise(resolve => clock.setTimer(10, () => resolve(undefined)));
        }
        waitsMs.sort((left, right) => left - right);
        const usualMs = waitsMs[Math.floor(waitsMs.length * USUAL_SHARE)] ?? 0;
        const longestMs = waitsMs.at(-1) ?? 0;
        worker.postMessage("state");
        const [{ mostSentBytes, open }] = await once(worker, "message") as [
            { mostSentBytes: number; open: number; },
        ];
        t.log(
            `${waitsMs.length} answers, 95 of 100 within ${Math.round(usualMs)} ms, longest ${
                Math.round(longestMs)
            } ms; ${Math.round(mostSentBytes / 1024)} KiB sent, ${open} open`,
        );
        t.true(usualMs <= MAX_USUAL_MS, `${usualMs} ms`);
        t.true(longestMs <= MAX_ANY_MS, `${longestMs} ms`);
        t.true(mostSentBytes <= MAX_SENT_BYTES, `${mostSentBytes} bytes`);
        t.is(open, 0, "connections of flooding callers that are still open");
        t.true(process.memoryUsage().rss - startBytes <= MAX_GROWTH_BYTES);
    });
}
