import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import type { Socket } from "node:net";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { responseHead, startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
/** Time that a server needs for a request, in milliseconds. */
const RUN_MS = 60;

const refusal = (status: string, requestId: string | undefined): string =>
    `HTTP/1.1 ${status}\r\n${requestId === undefined ? "" : `${NAMES.requestId}: ${requestId}\r\n`}`
    + `${NAMES.notRun}: 1\r\ncontent-length: 0\r\n\r\n`;

/** What the faulty server writes once more as the next request runs; gets the identifier of the earlier one. */
const REPEATED = {
    "a refusal with the earlier identifier": earlier => refusal("503 Service Unavailable", earlier),
    "a refusal without an identifier": () => refusal("503 Service Unavailable", undefined),
    "a misdirected refusal with the earlier identifier": earlier =>
        refusal("421 Misdirected Request", earlier),
    "a misdirected refusal without an identifier": () => refusal("421 Misdirected Request", undefined),
    "a refusal with two identifiers": earlier =>
        refusal("503 Service Unavailable", earlier).replace(
            "\r\n\r\n",
            `\r\n${NAMES.requestId}: second\r\n\r\n`,
        ),
    "a refusal with the own identifier and another one": () =>
        refusal("503 Service Unavailable", "second").replace(
            "\r\n\r\n",
            `\r\n${NAMES.requestId}: another\r\n\r\n`,
        ),
    "an answer with the earlier identifier": earlier =>
        `${responseHead(earlier, "content-length: 7\r\n")}earlier`,
    "an answer without an identifier": () =>
        `HTTP/1.1 200 OK\r\n${NAMES.signature}: signed\r\ncontent-length: 7\r\n\r\nearlier`,
    "a too many requests with the earlier identifier": earlier => refusal("429 Too Many Requests", earlier),
} as const satisfies Record<string, (earlier: string) => string>;

/** Serves the first request of a connection well, and repeats an earlier answer during the second. */
class RepeatingServer extends RawServer {
    /** Identifiers of the requests that it has run. */
    public readonly runs: string[] = [];
    /** Requests on a connection after which the earlier answer is written again. */
    public repeated = 0;
    public constructor(private readonly repeat: ((earlier: string) => string) | undefined) {
        super();
    }

    protected serve(socket: Socket): void {
        let received = "";
        let earlier: string | undefined;
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (!received.endsWith("body")) {
                return;
            }
            const requestId = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
            received = "";
            this.runs.push(requestId);
            if (earlier !== undefined && this.repeat) {
                this.repeated++;
                socket.write(this.repeat(earlier));
            }
            earlier = requestId;
            clock.setTimer(RUN_MS, () => {
                if (!socket.destroyed) {
                    socket.write(`${responseHead(requestId, "content-length: 5\r\n")}whole`);
                }
            });
        });
    }
}

const ask = async (callers: Address, name: string, requestId: string) => {
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
    return { status: answer.statusCode, text: await answer.body.text() };
};

for (const [name, repeat] of Object.entries(REPEATED)) {
    for (const route of ["once", "once-tried"]) {
        test.serial(`${name}, written again on a kept connection, is no answer to the next request: ${route}`, async t => {
            await using faulty = new RepeatingServer(repeat);
            const addresses = [await faulty.listen()];
            const { callers, entry } = await startEntry(...addresses);
            await using _entry = entry;
            t.is((await ask(callers, route, "first")).status, 200);
            const second = await ask(callers, route, "second");
            t.is(faulty.repeated, 1, "the connection was not kept, so nothing was tested");
            // The request runs: nobody may say that it has not.
            t.is(second.status, 502);
            t.false(second.text.includes("earlier"));
            t.is(faulty.runs.filter(id => id === "second").length, 1);
        });
    }
}

test.serial("a request whose server repeats an earlier refusal is not sent to another server", async t => {
    for (const repeat of Object.values(REPEATED)) {
        await using first = new RepeatingServer(repeat);
        await using second = new RepeatingServer(repeat);
        const { callers, entry } = await startEntry(await first.listen(), await second.listen());
        await using _entry = entry;
        const ids = Array.from({ length: 8 }, (_, index) => `call-${index}`);
        for (const id of ids) {
            const { status, text } = await ask(callers, "once-tried", id);
            t.true(status === 200 && text === "whole" || status === 502, `${status}`);
        }
        t.true(first.repeated + second.repeated > 0);
        const runs = [...first.runs, ...second.runs];
        t.deepEqual(runs.filter(id => runs.indexOf(id) !== runs.lastIndexOf(id)), []);
    }
});

test.serial("a safe request that meets an earlier answer gets its own from another server", async t => {
    for (const repeat of Object.values(REPEATED)) {
        await using faulty = new RepeatingServer(repeat);
        await using sound = new RepeatingServer(undefined);
        const { callers, entry } = await startEntry(await faulty.listen(), await sound.listen());
        await using _entry = entry;
        for (let index = 0; index < 6; index++) {
            const { status, text } = await ask(callers, "whole", `read-${index}`);
            t.deepEqual([status, text], [200, "whole"]);
        }
    }
});
