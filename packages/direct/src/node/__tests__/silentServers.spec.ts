/** Open connections to a backend server that fall silent while new ones work. */

import { type Address, createSystemClock, sleep } from "@magnolialock/kernel";
import test from "ava";
import type { Socket } from "node:net";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { responseHead, startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
/** Time of an answer, so that requests at the same time need connections of their own, in milliseconds. */
const ANSWER_MS = 50;
const OPEN_CONNECTIONS = 3;

/** Answers every request; connections that are open at a moment may fall silent for good. */
class SilentServer extends RawServer {
    private readonly silent = new Set<Socket>();
    private readonly open = new Set<Socket>();

    public fallSilent(): void {
        this.open.forEach(socket => this.silent.add(socket));
    }

    protected serve(socket: Socket): void {
        this.open.add(socket);
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (received.endsWith("body")) {
                const requestId = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
                received = "";
                clock.setTimer(ANSWER_MS, () => {
                    if (!this.silent.has(socket)) {
                        socket.write(`${responseHead(requestId, "content-length: 2\r\n")}ok`);
                    }
                });
            }
        });
    }
}

const ask = async (callers: Address, id: string): Promise<number> => {
    const answer = await request(`http://${callers}/whole/1`, {
        method: "POST",
        body: "body",
        headers: {
            host: "shop.example",
            [NAMES.requestId]: id,
            [NAMES.remainingMs]: "1500",
            [NAMES.apiKey]: "key-1",
        },
    });
    await answer.body.dump();
    return answer.statusCode;
};

// Guards against requests that fail one after another, each on another connection that has gone silent.
test.serial("idle connections to a server that have gone silent cost more than one request", async t => {
    await using server = new SilentServer();
    const { entry, callers } = await startEntry(await server.listen());
    await using _entry = entry;
    await Promise.all(Array.from({ length: OPEN_CONNECTIONS }, (_, index) => ask(callers, `first-${index}`)));
    server.fallSilent();
    t.is(await ask(callers, "after"), 502);
    await sleep(clock, ANSWER_MS);
    t.is(await ask(callers, "later"), 200);
});
