import type { AnswerEvent } from "@magnolialock/entry";
import test from "ava";
import { createTestApp, KEY } from "./stubEntry.ts";

const authorized = { authorization: `Bearer ${KEY}` };
const streamHead: AnswerEvent = {
    kind: "head",
    status: 200,
    headers: [["content-type", "text/event-stream"]],
};
const errorOf = async (response: Response) =>
    (await response.json() as {
        readonly error: { readonly code: string; readonly ran: string; readonly message: string; };
    })
        .error;

test("a complete token stream ends with the [DONE] event", async t => {
    const { app } = createTestApp([streamHead, { kind: "tokens", texts: ["a", "b"] }, {
        kind: "end",
        finishReason: "stop",
    }]);
    const text = await (await app.request("/redator/v1/completions", { method: "POST", headers: authorized }))
        .text();
    t.is(text.match(/"token":\d/g)?.join(), '"token":0,"token":1');
    t.true(text.endsWith("data: [DONE]\n\n"));
});

test("a failed token stream ends with an error event and without [DONE]", async t => {
    const failure = { code: "broken", ran: "outcome unknown", message: "gone" } as const;
    const { app } = createTestApp([streamHead, { kind: "tokens", texts: ["a"] }, {
        kind: "failed",
        failure,
    }]);
    const text = await (await app.request("/redator/v1/completions", { headers: authorized })).text();
    t.regex(text, /event: error\ndata: {"error":{"code":"broken","ran":"outcome unknown"/);
    t.false(text.includes("[DONE]"));
});

test("a plain answer that fails after its head breaks the connection", async t => {
    const failure = { code: "broken", ran: "outcome unknown", message: "gone" } as const;
    const head: AnswerEvent = { kind: "head", status: 200, headers: [["content-type", "text/plain"]] };
    const { app } = createTestApp([head, { kind: "body", bytes: Buffer.from("half") }, {
        kind: "failed",
        failure,
    }]);
    const response = await app.request("/painel/status", { headers: authorized });
    await t.throwsAsync(response.text());
});

test("a failure states whether the request ran and when to retry", async t => {
    const failure = { code: "overloaded", ran: "not run", message: "full", retryAfterMs: 1_500 } as const;
    const { app } = createTestApp([{ kind: "ticket", ticket: "t1.a.b.c" }, { kind: "failed", failure }]);
    const response = await app.request("/painel/bookings", { method: "POST", headers: authorized });
    t.is(response.status, 503);
    t.is(response.headers.get("x-ran"), "not run");
    t.is(response.headers.get("retry-after"), "2");
    t.is(response.headers.get("x-ticket"), "t1.a.b.c");
    t.is((await errorOf(response)).code, "overloaded");
});

test("all invalid headers are reported in one failure, as not run", async t => {
    const { app, seen } = createTestApp([]);
    const headers = { ...authorized, "x-timeout-ms": "soon", "x-priority": "vip" };
    const response = await app.request("/painel/status", { headers });
    t.is(response.status, 400);
    const { ran, message } = await errorOf(response);
    t.is(ran, "not run");
    t.regex(message, /x-timeout-ms: use a whole number.*x-priority: use status, booking/);
    t.is(seen.request, undefined);
});

test("a request with a missing or unknown API key is unauthorized", async t => {
    const { app } = createTestApp([]);
    t.is((await app.request("/painel/status")).status, 401);
    t.is((await app.request("/painel/status", { headers: { authorization: "Bearer other" } })).status, 401);
});

test("a body over the limit is refused, with and without a Content-Length header", async t => {
    const { app } = createTestApp([]);
    const body = new Uint8Array(101);
    const plain = await app.request("/painel/x", { method: "POST", headers: authorized, body });
    t.is(plain.status, 413);
    const chunked = new ReadableStream({
        start: controller => {
            controller.enqueue(body);
            controller.close();
        },
    });
    const init = { method: "POST", headers: authorized, body: chunked, duplex: "half" };
    t.is((await app.request("/painel/x", init)).status, 413);
});

test("the API key is not forwarded; the caller's other headers and settings are passed on", async t => {
    const { app, seen } = createTestApp([{
        kind: "failed",
        failure: { code: "unavailable", ran: "not run", message: "" },
    }]);
    const headers = {
        ...authorized,
        "x-request-id": "r1",
        "x-timeout-ms": "250",
        "x-priority": "batch",
        "x-other": "1",
    };
    await app.request("/painel/status/4?full=1", { headers });
    t.is(seen.request?.path, "/status/4?full=1");
    t.is(seen.request?.timeoutMs, 250);
    t.is(seen.request?.priority, "batch");
    t.is(seen.request?.requestId as string, "r1");
    t.deepEqual(seen.request?.headers.map(([name]) => name), ["x-other"]);
});

test("a caller that disconnects cancels its request", async t => {
    const { app, seen } = createTestApp([streamHead, { kind: "tokens", texts: ["a"] }]);
    const response = await app.request("/redator/v1/completions", { headers: authorized });
    await response.body?.cancel();
    t.true(seen.isAborted);
});

test("a refused request that carries a ticket is not reported as not run", async t => {
    const { app } = createTestApp([]);
    const headers = { "x-ticket": "t1.a.b.c", "x-timeout-ms": "soon" };
    const refusals = [
        await app.request("/painel/bookings", { method: "POST", headers }),
        await app.request("/painel/bookings", {
            method: "POST",
            headers: { ...headers, "x-timeout-ms": "5" },
        }),
        await app.request("/painel/bookings", {
            method: "POST",
            headers: { ...authorized, "x-ticket": "t1.a.b.c" },
            body: new Uint8Array(101),
        }),
    ];
    for (const response of refusals) {
        t.is(response.headers.get("x-ran"), "outcome unknown", String(response.status));
    }
});

test("a caller can obtain a ticket before its first attempt", async t => {
    const { app } = createTestApp([]);
    const response = await app.request("/_tickets/painel", { method: "POST", headers: authorized });
    t.is(response.status, 201);
    t.deepEqual(await response.json(), { ticket: "t1.x.y.z" });
    t.is((await app.request("/_tickets/nowhere", { method: "POST", headers: authorized })).status, 404);
    t.is((await app.request("/_tickets/painel", { method: "POST" })).status, 401);
});
