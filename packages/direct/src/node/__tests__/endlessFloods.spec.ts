/** Guards against bytes without end at full speed that keep the process from its other callers, or that it reads without end. */

import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { startEntry } from "./entryFixture.ts";
import { FloodingServer, FLOODS } from "./floodingServer.ts";

const clock = createSystemClock();
const HEAD = `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ID\r\n${NAMES.signature}: signed\r\n`;
/** Requests that meet the faulty server at the same time. */
const FLOODED = 6;
/** Time for which other callers ask, in milliseconds: beyond the end of the flooded requests. */
const ASKED_MS = 2_500;
/** Longest time that other callers wait for an answer: what the users' status reads have beside their server's work, in milliseconds. */
const MAX_USUAL_MS = 100;
/** Share of the answers that keep to it; a process may be scheduled late now and then. */
const USUAL_SHARE = 0.95;
/** Longest time for any answer, in milliseconds. */
const MAX_ANY_MS = 1_000;
/** Bytes that a server may hand to one connection, the buffers of the sockets included. */
const MAX_SENT_BYTES = 24 * 1024 * 1024;

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
        await answer.body.dump({ limit: Number.MAX_SAFE_INTEGER });
        return answer.statusCode;
    }
    catch {
        return undefined;
    }
};

for (const [name, flood] of Object.entries(FLOODS)) {
    test.serial(`other callers do not notice a server that sends ${name} without end`, async t => {
        await using server = await FloodingServer.start(flood, HEAD, "/good/");
        const { entry, callers } = await startEntry(server.address);
        await using _entry = entry;
        t.is(await ask(callers, "good", "good"), 200);
        const startMs = performance.now();
        const flooded = Array.from(
            { length: FLOODED },
            (_, index) => ask(callers, index % 2 === 0 ? "once-stream" : "once", `flooded-${index}`),
        );
        const waitsMs: number[] = [];
        for (let index = 0; performance.now() - startMs < ASKED_MS; index++) {
            const askedMs = performance.now();
            t.is(await ask(callers, "good", `good-${index}`), 200);
            waitsMs.push(performance.now() - askedMs);
            await new Promise(resolve => clock.setTimer(10, () => resolve(undefined)));
        }
        await Promise.all(flooded);
        waitsMs.sort((left, right) => left - right);
        const usualMs = waitsMs[Math.floor(waitsMs.length * USUAL_SHARE)] ?? 0;
        const longestMs = waitsMs.at(-1) ?? 0;
        const { mostSentBytes, open } = await server.state();
        t.log(
            `${waitsMs.length} answers, 95 of 100 within ${Math.round(usualMs)} ms, longest ${
                Math.round(longestMs)
            } ms; ${Math.round(mostSentBytes / 1024)} KiB sent`,
        );
        t.true(usualMs <= MAX_USUAL_MS, `${usualMs} ms`);
        t.true(longestMs <= MAX_ANY_MS, `${longestMs} ms`);
        t.true(mostSentBytes <= MAX_SENT_BYTES, `${mostSentBytes} bytes`);
        t.is(open, 0, "connections to the faulty server that are still open");
    });
}
