/** Guards against requests inside the header limit that a default of Node.js shortens or refuses by the number of their fields. */

import { freeAddress, RawCaller } from "@magnolialock/test-support";
import test, { type ExecutionContext } from "ava";
import { Hono } from "hono";
import { once } from "node:events";
import { connect, constants } from "node:http2";
import { listenHttp } from "../httpServer.ts";

/** Short fields of a head that stays within the 16,384 bytes of both protocols. */
const FIELDS = 1_200;
const ANSWER_MS = 5_000;

/** Starts a server that answers with the number of fields `c-*` and the body that it was sent. */
const listen = async (protocol: "http1" | "http2") => {
    const app = new Hono();
    app.post("/", async context => {
        const fields = Object.keys(context.req.header()).filter(name => name.startsWith("c-"));
        return context.text(`${fields.length} fields, body ${await context.req.text()}`);
    });
    const address = await freeAddress();
    const server = await listenHttp({ app, address, protocol });
    return { address, [Symbol.asyncDispose]: () => server[Symbol.asyncDispose]() };
};

const names = Array.from({ length: FIELDS }, (_, index) => `c-${index}`);

test("a request with many header fields is handled whole over HTTP/1.1", async t => {
    await using server = await listen("http1");
    using caller = await RawCaller.connect(server.address);
    const lines = names.map(name => `${name}: 1\r\n`).join("");
    caller.send(`POST / HTTP/1.1\r\nHost: test\r\n${lines}Content-Length: 4\r\n\r\nbody`);
    t.true(await caller.receives(`${FIELDS} fields, body body`, ANSWER_MS), caller.text);
});

/** Sends a request over HTTP/2; returns the code with which its stream closed, and its answer. */
const askHttp2 = async (t: ExecutionContext, fields: Readonly<Record<string, string>>) => {
    await using server = await listen("http2");
    // The limit of the client on what it sends is lifted: that of the server is tested.
    const session = connect(`http://${server.address}`, { maxSendHeaderBlockLength: 1_000_000 });
    t.teardown(() => session.destroy());
    await once(session, "remoteSettings");
    const stream = session.request({ ":method": "POST", ":path": "/", ...fields });
    stream.on("error", () => {});
    stream.setEncoding("utf8");
    let text = "";
    stream.on("data", (chunk: string) => text += chunk);
    stream.end("body");
    await new Promise<void>(resolve => stream.once("close", resolve));
    return { code: stream.rstCode, text };
};

test("a request with many header fields is handled whole over HTTP/2", async t => {
    t.deepEqual(await askHttp2(t, Object.fromEntries(names.map(name => [name, "1"]))), {
        code: constants.NGHTTP2_NO_ERROR,
        text: `${FIELDS} fields, body body`,
    });
});

const OVERLONG: Readonly<Record<string, Readonly<Record<string, string>>>> = {
    "two long fields": { "c-0": "1".repeat(60_000), "c-1": "1".repeat(5_600) },
    "many short fields": Object.fromEntries(
        Array.from({ length: 3_000 }, (_, index) => [`c-${index}`, "1"]),
    ),
};

for (const [name, fields] of Object.entries(OVERLONG)) {
    test(`a request over HTTP/2 with ${name} over the limit on their size is refused by the server`, async t => {
        t.deepEqual(await askHttp2(t, fields), { code: constants.NGHTTP2_ENHANCE_YOUR_CALM, text: "" });
    });
}
