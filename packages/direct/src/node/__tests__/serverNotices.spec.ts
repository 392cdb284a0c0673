import { type Address, branded, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { startEntry } from "./entryFixture.ts";

const clock = createSystemClock();
const REST_MS = 1_000;

const pause = (durationMs: number): Promise<void> =>
    new Promise(resolve => clock.setTimer(durationMs, () => resolve()));

/** Server that answers every request as its test says, and counts what reaches it. */
class NoticeServer implements AsyncDisposable {
    public requests = 0;
    /** Status and additional headers of its answers. */
    public answer: { readonly status: number; readonly headers: Record<string, string>; } = {
        status: 200,
        headers: {},
    };
    private readonly server = createServer((incoming, response) => this.serve(incoming, response));

    public async listen(): Promise<Address> {
        this.server.listen(0, "127.0.0.1");
        await once(this.server, "listening");
        return branded<Address>(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
    }

    public openConnections(): Promise<number> {
        return new Promise(resolve => this.server.getConnections((_error, count) => resolve(count)));
    }

    public async [Symbol.asyncDispose](): Promise<void> {
        this.server.closeAllConnections();
        this.server.close();
        await once(this.server, "close");
    }

    private serve(incoming: IncomingMessage, response: ServerResponse): void {
        this.requests++;
        incoming.resume();
        incoming.once("end", () => {
            const { headers, status } = this.answer;
            response.writeHead(status, {
                [NAMES.requestId]: incoming.headers[NAMES.requestId] ?? "",
                ...status === 200 ? { [NAMES.signature]: "signed" } : { [NAMES.notRun]: "1" },
                ...headers,
            });
            response.end("answer");
        });
    }
}

const ask = async (callers: Address, id: string): Promise<{ status: number; retryAfterS: number; }> => {
    const { body, headers, statusCode } = await request(`http://${callers}/whole/1`, {
        method: "POST",
        body: "body",
        headers: {
            host: "shop.example",
            [NAMES.requestId]: id,
            [NAMES.remainingMs]: "6000",
            [NAMES.apiKey]: "key-1",
        },
    });
    await body.text();
    return { status: statusCode, retryAfterS: Number(headers["retry-after"]) };
};

test.serial("a server that says it leaves gets no request and keeps no connection", async t => {
    await using leaver = new NoticeServer();
    await using other = new NoticeServer();
    const { entry, callers } = await startEntry(await leaver.listen(), await other.listen());
    await using _entry = entry;
    leaver.answer = { status: 200, headers: { [NAMES.leaving]: "1" } };
    for (let index = 0; leaver.requests === 0; index++) {
        t.is((await ask(callers, `first-${index}`)).status, 200);
    }
    const before = other.requests;
    for (let index = 0; index < 20; index++) {
        t.is((await ask(callers, `later-${index}`)).status, 200);
    }
    t.is(leaver.requests, 1);
    t.is(other.requests, before + 20);
    await pause(50);
    t.is(await leaver.openConnections(), 0);
});

test.serial("a server that refuses and says that it leaves gets no request", async t => {
    await using leaver = new NoticeServer();
    await using other = new NoticeServer();
    const { entry, callers } = await startEntry(await leaver.listen(), await other.listen());
    await using _entry = entry;
    leaver.answer = { status: 503, headers: { [NAMES.leaving]: "1" } };
    for (let index = 0; index < 20; index++) {
        t.is((await ask(callers, `call-${index}`)).status, 200);
    }
    t.is(leaver.requests, 1);
});

test.serial("a server that names a pause gets no request until its end, and callers hear of it", async t => {
    await using server = new NoticeServer();
    const { entry, callers } = await startEntry(await server.listen());
    await using _entry = entry;
    server.answer = { status: 503, headers: { "retry-after": String(REST_MS / 1_000) } };
    const startMs = performance.now();
    const first = await ask(callers, "first");
    const toldMs = performance.now();
    t.is(first.status, 503);
    t.true(first.retryAfterS * 1_000 >= REST_MS - (toldMs - startMs));
    for (let index = 0; index < 10; index++) {
        const { retryAfterS, status } = await ask(callers, `during-${index}`);
        t.is(status, 503);
        t.true(retryAfterS * 1_000 >= REST_MS - (performance.now() - startMs));
        await pause(50);
    }
    t.is(server.requests, 1);
    server.answer = { status: 200, headers: {} };
    await pause(REST_MS);
    t.is((await ask(callers, "after")).status, 200);
    t.is(server.requests, 2);
});
