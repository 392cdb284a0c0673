import { type Address, branded, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { Agent, createServer, request } from "node:http";
import type { AddressInfo } from "node:net";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { startEntry } from "./entryFixture.ts";

const clock = createSystemClock();
const CALLERS = 30;
/** Time that the server needs for a request, in milliseconds. */
const RUN_MS = 30;
/** Time for which callers send before and after the signal to stop, in milliseconds. */
const BEFORE_MS = 300;
const AFTER_MS = 3_300;

const pause = (durationMs: number): Promise<void> =>
    new Promise(resolve => clock.setTimer(durationMs, () => resolve()));

type Outcome = "answered" | "notConnected" | "cut";

/** Sends one request over the connections of a caller. */
const ask = (callers: Address, id: string, agent: Agent): Promise<Outcome> =>
    new Promise(resolve => {
        let isConnected = false;
        const outgoing = request(`http://${callers}/once/1`, {
            method: "POST",
            agent,
            headers: {
                host: "shop.example",
                [NAMES.requestId]: id,
                [NAMES.remainingMs]: "6000",
                [NAMES.apiKey]: "key-1",
            },
        });
        outgoing.once("socket", socket => {
            isConnected = !socket.connecting;
            socket.once("connect", () => isConnected = true);
        });
        outgoing.once("response", response => {
            response.resume();
            response.once("end", () =>
                resolve(response.complete && response.statusCode === 200 ? "answered" : "cut"));
            response.once("error", () =>
                resolve("cut"));
        });
        outgoing.once("error", () => resolve(isConnected ? "cut" : "notConnected"));
        outgoing.end("body");
    });

test.serial("a planned stop under load cuts off no request that was accepted, on kept and new connections", async t => {
    const server = createServer((incoming, response) => {
        incoming.resume();
        incoming.once("end", () => {
            clock.setTimer(RUN_MS, () => {
                response.writeHead(200, {
                    [NAMES.requestId]: incoming.headers[NAMES.requestId] ?? "",
                    [NAMES.signature]: "signed",
                }).end("answer");
            });
        });
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.closeAllConnections();
        server.close();
    });
    const { port } = server.address() as AddressInfo;
    const { callers, entry } = await startEntry(branded<Address>(`127.0.0.1:${port}`));
    const outcomes: Record<Outcome, number> = { answered: 0, notConnected: 0, cut: 0 };
    const endMs = performance.now() + BEFORE_MS + AFTER_MS;
    const runCaller = async (caller: number): Promise<void> => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let count = 0; performance.now() < endMs; count++) {
            outcomes[await ask(callers, `caller-${caller}-${count}`, agent)]++;
            await pause(caller % 10);
        }
        agent.destroy();
    };
    const sending = Promise.all(Array.from({ length: CALLERS }, (_, caller) => runCaller(caller)));
    await pause(BEFORE_MS);
    const stopped = entry.stop();
    await sending;
    await stopped;
    t.log(outcomes);
    t.is(outcomes.cut, 0);
    t.is(outcomes.notConnected, 0, "callers still connect until the balancer has taken the instance out");
    t.true(outcomes.answered > CALLERS * 20);
});
