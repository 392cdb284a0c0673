import { createDeferred, createSystemClock, sleep } from "@magnolialock/kernel";
import { freeAddress, RawCaller, settles } from "@magnolialock/test-support";
import test from "ava";
import { Hono } from "hono";
import { once } from "node:events";
import { connect as connectHttp2 } from "node:http2";
import { listenHttp } from "../httpServer.ts";

const clock = createSystemClock();
/** A close that has nothing to wait for takes less than this, also on a busy machine, in milliseconds. */
const AT_ONCE_MS = 1_500;
/** Close timeout of servers whose responses end in time, in milliseconds. */
const LONG_CLOSE_MS = 20_000;
/** More than the socket buffers of both ends hold, in bytes. */
const LARGE_BYTES = 24 * 1024 * 1024;

/** Widest flow-control window of HTTP/2, in bytes. */
const WIDEST_WINDOW_BYTES = 2 ** 31 - 1;

const getRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: test\r\n\r\n`;

/** Application with a response that waits, one that never ends, and a large one. */
const createApp = () => {
    const release = createDeferred<void>();
    const handled: string[] = [];
    const app = new Hono();
    app.use(async (context, next) => {
        handled.push(context.req.path);
        await next();
    });
    app.get("/quick", context => context.text("quick answer"));
    app.get("/waiting", async context => {
        await release.promise;
        return context.text("late answer");
    });
    app.get("/endless", () => new Promise<Response>(() => {}));
    app.get("/large", context => context.body(new Uint8Array(LARGE_BYTES)));
    app.post("/body", async context => context.text(await context.req.text()));
    return { app, handled, release };
};

const handledBy = async (server: { readonly handled: readonly string[]; }, count: number): Promise<void> => {
    while (server.handled.length < count) {
        await sleep(clock, 5);
    }
};

const listen = async (closeTimeoutMs: number | undefined, protocol: "http1" | "http2" = "http1") => {
    const { app, handled, release } = createApp();
    const address = await freeAddress();
    const server = await listenHttp({
        app,
        address,
        protocol,
        ...closeTimeoutMs === undefined ? {} : { closeTimeoutMs },
    });
    return { address, handled, release, close: () => server[Symbol.asyncDispose]() };
};

test("an idle kept connection does not hold up the close", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    caller.send(getRequest("/quick"));
    t.true(await caller.receives("quick answer", AT_ONCE_MS));
    t.true(await settles(server.close(), AT_ONCE_MS));
    t.true(await settles(caller.closed, AT_ONCE_MS));
});

test("a connection without a byte does not hold up the close", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    await sleep(clock, 50);
    t.true(await settles(server.close(), AT_ONCE_MS));
    t.true(await settles(caller.closed, AT_ONCE_MS));
});

test("half a head does not hold up the close", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    caller.send("GET /quick HTTP/1.1\r\nHost: te");
    await sleep(clock, 50);
    t.true(await settles(server.close(), AT_ONCE_MS));
    t.true(await settles(caller.closed, AT_ONCE_MS));
});

test("half a body does not hold up the close", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    caller.send("POST /body HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\n12345");
    await handledBy(server, 1);
    t.true(await settles(server.close(), AT_ONCE_MS));
    t.true(await settles(caller.closed, AT_ONCE_MS));
    t.is(caller.text, "");
});

test("a running response is not cut off by the close, and tells the caller that its connection closes", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    caller.send(getRequest("/waiting"));
    await handledBy(server, 1);
    const closing = server.close();
    await sleep(clock, 100);
    t.is(caller.text, "");
    server.release.resolve();
    t.true(await settles(caller.closed, AT_ONCE_MS));
    await closing;
    t.regex(caller.text, /connection: close/i);
    t.true(caller.text.endsWith("late answer"));
});

test("a response that was handed over is not cut off by the close while its caller reads slowly", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    caller.send(getRequest("/large"));
    t.true(await caller.receives("HTTP/1.1 200", AT_ONCE_MS));
    caller.socket.pause();
    await sleep(clock, 100);
    const closing = server.close();
    await sleep(clock, 300);
    caller.socket.resume();
    t.true(await settles(caller.closed, AT_ONCE_MS));
    await closing;
    t.is(caller.bytes - caller.text.indexOf("\r\n\r\n") - 4, LARGE_BYTES);
});

test("a response that does not end holds up the close for its timeout only", async t => {
    const server = await listen(300);
    using caller = await RawCaller.connect(server.address);
    caller.send(getRequest("/endless"));
    await handledBy(server, 1);
    const closing = server.close();
    t.false(await settles(closing, 200));
    t.true(await settles(closing, AT_ONCE_MS));
    t.true(await settles(caller.closed, AT_ONCE_MS));
});

test("a caller that does not read holds up the close for the default timeout only", async t => {
    const server = await listen(undefined);
    using caller = await RawCaller.connect(server.address);
    caller.send(getRequest("/large"));
    t.true(await caller.receives("HTTP/1.1 200", AT_ONCE_MS));
    caller.socket.pause();
    t.true(await settles(server.close(), 1_000 + AT_ONCE_MS));
});

test("a request behind the last response of a closing connection is not handled without an answer", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    caller.send(getRequest("/waiting"));
    await handledBy(server, 1);
    const closing = server.close();
    caller.send(getRequest("/quick"));
    await sleep(clock, 100);
    server.release.resolve();
    t.true(await settles(caller.closed, AT_ONCE_MS));
    await closing;
    t.deepEqual(server.handled, ["/waiting"]);
});

test("pipelined requests that were read before the close are all answered", async t => {
    const server = await listen(LONG_CLOSE_MS);
    using caller = await RawCaller.connect(server.address);
    caller.send(getRequest("/waiting") + getRequest("/quick"));
    await handledBy(server, 2);
    const closing = server.close();
    server.release.resolve();
    t.true(await settles(caller.closed, AT_ONCE_MS));
    await closing;
    t.regex(caller.text, /late answer[^]*quick answer$/);
});

test("an idle session of HTTP/2 does not hold up the close, and a running stream is not cut off", async t => {
    const server = await listen(LONG_CLOSE_MS, "http2");
    const idle = connectHttp2(`http://${server.address}`);
    await once(idle, "remoteSettings");
    const busy = connectHttp2(`http://${server.address}`);
    const stream = busy.request({ ":path": "/waiting" });
    stream.setEncoding("utf8");
    await handledBy(server, 1);
    const idleClosed = once(idle, "close");
    const closing = server.close();
    t.true(await settles(idleClosed, AT_ONCE_MS));
    server.release.resolve();
    let text = "";
    for await (const chunk of stream as AsyncIterable<string>) {
        text += chunk;
    }
    t.is(text, "late answer");
    t.true(await settles(closing, AT_ONCE_MS));
    busy.destroy();
});

test("a connection of HTTP/2 without a byte does not hold up the close", async t => {
    const server = await listen(LONG_CLOSE_MS, "http2");
    using caller = await RawCaller.connect(server.address);
    await sleep(clock, 50);
    t.true(await settles(server.close(), AT_ONCE_MS));
    t.true(await settles(caller.closed, AT_ONCE_MS));
});

for (const path of ["/endless", "/large"]) {
    test(`a caller of HTTP/2 that does not read holds up the close for its timeout only: ${path}`, async t => {
        const server = await listen(300, "http2");
        using caller = await RawCaller.connect(server.address);
        const session = connectHttp2(`http://${server.address}`, {
            createConnection: () => caller.socket,
            settings: { initialWindowSize: WIDEST_WINDOW_BYTES },
        });
        session.on("error", () => {});
        await once(session, "remoteSettings");
        session.setLocalWindowSize(WIDEST_WINDOW_BYTES);
        session.request({ ":path": path }).on("error", () => {});
        await handledBy(server, 1);
        caller.socket.pause();
        const closing = server.close();
        t.false(await settles(closing, 200));
        t.true(await settles(closing, AT_ONCE_MS));
        session.destroy();
    });
}
