/** Guards against crowds that nobody controls at the listener of the own path. */

import { createSystemClock, sleep } from "@magnolialock/kernel";
import { type Crowd, RunningCrowd } from "@magnolialock/test-support";
import test from "ava";
import { KEY, startFleet } from "./entryFleet.ts";

const clock = createSystemClock();
/** Memory of the machine in the settings of the entry, in MB; the bound of its resident memory. */
const MEMORY_MB = 300;
const BYTES_PER_MB = 1_000_000;
/** Time for which a crowd sends before the ordinary request beside it, in milliseconds. */
const CROWD_MS = 3_000;
/** Time for an ordinary request, with repeats of its client, in milliseconds. */
const ASK_MS = 6_000;
/** Pause between two tries of an ordinary request, in milliseconds. */
const RETRY_MS = 50;

const FIELDS = `host: test\r\nauthorization: Bearer ${KEY}\r\n`;
const CHUNKED = `POST /painel/1 HTTP/1.1\r\n${FIELDS}transfer-encoding: chunked\r\n\r\n`;
const shortLines = Array.from({ length: 900 }, (_, line) => `x${line}: y${line}\r\n`).join("");
const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

const CROWDS: Readonly<Record<string, Crowd>> = {
    "requests sent ahead": {
        clients: 200,
        start: "",
        repeat: `GET /painel/1 HTTP/1.1\r\nhost: test\r\n\r\n`.repeat(500),
        isReading: false,
        returns: true,
    },
    "requests sent ahead with many short header lines": {
        clients: 200,
        start: "",
        repeat: `GET /painel/1 HTTP/1.1\r\nhost: test\r\n${shortLines}\r\n`.repeat(40),
        isReading: false,
        returns: true,
    },
    "chunks of one byte": { clients: 200, start: CHUNKED, repeat: chunk(1).repeat(1_000), returns: true },
    "chunks of 64 bytes": { clients: 200, start: CHUNKED, repeat: chunk(64).repeat(100), returns: true },
    "unfinished requests with 900 header lines": {
        clients: 500,
        start: `POST /painel/1 HTTP/1.1\r\n${FIELDS}LINEScontent-length: 2\r\n\r\na`,
        lines: 900,
    },
    "empty lines without end": { clients: 200, start: "", repeat: "\r\n".repeat(8_000), returns: true },
};

/** Asks until the answer is 200, as a caller does that may repeat its request; returns the last status or failure. */
const askOrdinary = async (listen: string): Promise<number | string> => {
    const endMs = clock.nowMs() + ASK_MS;
    let result: number | string = "not asked";
    while (result !== 200 && clock.nowMs() < endMs) {
        try {
            const response = await fetch(`http://${listen}/painel/quick`, {
                headers: { authorization: `Bearer ${KEY}`, connection: "close" },
                signal: AbortSignal.timeout(Math.ceil(Math.max(1, endMs - clock.nowMs()))),
            });
            await response.text();
            result = response.status;
        }
        catch (error) {
            result = String(error);
        }
        await sleep(clock, result === 200 ? 0 : RETRY_MS);
    }
    return result;
};

for (const [name, crowd] of Object.entries(CROWDS)) {
    test.serial(`an entry of the own path outlasts a crowd and answers others: ${name}`, async t => {
        await using fleet = await startFleet(10_000, ["--memory-mb", String(MEMORY_MB)]);
        t.is(await askOrdinary(fleet.listen), 200);
        await using running = await RunningCrowd.start(fleet.listen, crowd);
        let rssBytes = 0;
        const sample = async (): Promise<void> => {
            rssBytes = Math.max(rssBytes, await fleet.entry.rssBytes());
        };
        for (let ms = 0; ms < CROWD_MS && fleet.entry.isRunning; ms += RETRY_MS) {
            await sample();
            await sleep(clock, RETRY_MS);
        }
        const beside = await askOrdinary(fleet.listen);
        await sample();
        await running.leave();
        const after = await askOrdinary(fleet.listen);
        t.log(`${beside} beside, ${after} after; at most ${Math.round(rssBytes / BYTES_PER_MB)} MB`);
        t.true(fleet.entry.isRunning, fleet.entry.errors.slice(-2_000));
        t.true(rssBytes <= MEMORY_MB * BYTES_PER_MB, `${rssBytes} bytes`);
        t.is(beside, 200, "beside the crowd");
        t.is(after, 200, "after the crowd");
    });
}
