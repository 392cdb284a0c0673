/**
 * Callers' HTTP interface.
 *
 * @packageDocumentation
 */

import {
    AsyncQueue,
    branded,
    type ClientAccountId,
    type RequestId,
    type RequestId as RequestIdType,
    type ServiceName,
} from "@magnolialock/kernel";
import { type Context, Hono } from "hono";
import { bodyLimit } from "hono/body-limit";
import { createHash, randomUUID } from "node:crypto";
import { match } from "ts-pattern";
import type { Entry } from "../shared/entry.ts";
import type { AnswerEvent, CallerRequest, Failure, FailureCode } from "../types/caller.ts";

/** Headers that callers use. */
export const CallerHeader = {
    /** Identifier of the request; made up when missing. */
    RequestId: "x-request-id",
    /** API key, as `Bearer KEY`. */
    Authorization: "authorization",
    /** Time that the caller waits, in milliseconds. */
    TimeoutMs: "x-timeout-ms",
    /** Key of a request that may not be repeated. */
    IdempotencyKey: "idempotency-key",
    /** Ticket of an earlier try. */
    Ticket: "x-ticket",
    /** Whether a failed request ran. */
    Ran: "x-ran",
} as const;

/** Options of {@link createHttpFront}. */
export interface HttpFrontOptions {
    /** Entry that serves the requests. */
    readonly entry: Entry;
    /** Largest body, in bytes. */
    readonly maxBodyBytes?: number;
}

const DEFAULT_MAX_BODY_BYTES = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
    "authorization",
    "connection",
    "content-length",
    "host",
    "idempotency-key",
    "x-request-id",
    "x-ticket",
    "x-timeout-ms",
]);

const statusOf = (code: FailureCode): number =>
    match(code)
        .with("bad-request", "wrong-ticket", () => 400)
        .with("unauthorized", () => 401)
        .with("unknown-service", () => 404)
        .with("rate-limited", () => 429)
        .with("canceled", () => 499)
        .with("broken", () => 502)
        .with("overloaded", "unavailable", "stopping", () => 503)
        .with("deadline", () => 504)
        .exhaustive();

const failureBody = (requestId: string, failure: Failure): string =>
    JSON.stringify({
        error: {
            code: failure.code,
            ran: failure.ran,
            message: failure.message,
            request_id: requestId,
            ...(failure.retryAfterMs === undefined ? {} : { retry_after_ms: failure.retryAfterMs }),
        },
    });

const failureResponse = (requestId: string, failure: Failure): Response => {
    const headers = new Headers({ "content-type": "application/json", "x-request-id": requestId });
    headers.set(CallerHeader.Ran, failure.ran);
    if (failure.retryAfterMs !== undefined) {
        headers.set("retry-after", String(Math.ceil(failure.retryAfterMs / MILLISECONDS_PER_SECOND)));
    }
    return new Response(failureBody(requestId, failure), { status: statusOf(failure.code), headers });
};

/** Writes the pieces of an answer that has begun as bytes. */
const encodeEvent = (
    requestId: string,
    index: { value: number; },
    event: AnswerEvent,
): Uint8Array | string | undefined =>
    match(event)
        .with({ kind: "tokens" }, ({ texts }) =>
            texts.map(text => {
                const choice = { index: 0, text, finish_reason: undefined };
                return `data: ${
                    JSON.stringify({ id: requestId, token: index.value++, choices: [choice] })
                }\n\n`;
            }).join(""))
        .with({ kind: "body" }, ({ bytes }) => bytes)
        .otherwise(() => undefined);

const endOfStream = (requestId: string, event: AnswerEvent): string =>
    event.kind === "failed"
        ? `event: error\ndata: ${failureBody(requestId, event.failure)}\n\n`
        : `data: ${
            JSON.stringify({
                id: requestId,
                choices: [{
                    index: 0,
                    text: "",
                    finish_reason: event.kind === "end" ? event.finishReason : "",
                }],
            })
        }\n\ndata: [DONE]\n\n`;

const streamAnswer = (
    requestId: string,
    isTokenStream: boolean,
    events: AsyncQueue<AnswerEvent>,
): ReadableStream<Uint8Array> => {
    const encoder = new TextEncoder();
    const index = { value: 0 };
    return new ReadableStream<Uint8Array>({
        pull: async controller => {
            const { value: event, done } = await events.next();
            if (done) {
                controller.close();
                return;
            }
            if (event.kind === "failed" && !isTokenStream) {
                controller.error(new Error(event.failure.message));
                return;
            }
            const isLast = event.kind === "end" || event.kind === "failed";
            const piece = isLast && isTokenStream
                ? endOfStream(requestId, event)
                : encodeEvent(requestId, index, event);
            if (piece !== undefined) {
                controller.enqueue(typeof piece === "string" ? encoder.encode(piece) : piece);
            }
            if (isLast) {
                controller.close();
                return;
            }
            if (piece === undefined) {
                controller.enqueue(new Uint8Array());
            }
        },
        cancel: async () => {
            await events.return();
        },
    });
};

/** Finds the account of an API key by the hash of the key. */
const findAccount = (entry: Entry, authorization: string | undefined): ClientAccountId | undefined => {
    const key = /^Bearer (\S+)$/i.exec(authorization ?? "")?.[1];
    if (key === undefined) {
        return undefined;
    }
    const keyHash = createHash("sha256").update(key).digest("hex");
    const accounts = entry.context.configuration.current?.rules.accounts.values() ?? [];
    for (const account of accounts) {
        if (account.keyHash === keyHash) {
            return account.name;
        }
    }
    return undefined;
};

const readTimeout = (text: string | undefined): number | undefined => {
    const timeoutMs = Number(text);
    return text !== undefined && Number.isSafeInteger(timeoutMs) && timeoutMs > 0 ? timeoutMs : undefined;
};

const toCallerRequest = async (
    context: Context,
    requestId: RequestIdType,
    account: ClientAccountId,
): Promise<CallerRequest> => {
    const url = new URL(context.req.url);
    const [, service = "", ...rest] = url.pathname.split("/");
    const timeoutMs = readTimeout(context.req.header(CallerHeader.TimeoutMs));
    const ticket = context.req.header(CallerHeader.Ticket);
    const idempotencyKey = context.req.header(CallerHeader.IdempotencyKey);
    return {
        requestId,
        account,
        service: branded<ServiceName>(service),
        method: context.req.method,
        path: `/${rest.join("/")}${url.search}`,
        headers: Object.entries(context.req.header()).filter(([name]) => !DROPPED_HEADERS.has(name)),
        body: new Uint8Array(await context.req.arrayBuffer()),
        ...(timeoutMs === undefined ? {} : { timeoutMs }),
        ...(ticket === undefined ? {} : { ticket }),
        ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    };
};

const respond = async (requestId: string, events: AsyncQueue<AnswerEvent>): Promise<Response> => {
    let ticket: string | undefined;
    for await (const event of { [Symbol.asyncIterator]: () => ({ next: () => events.next() }) }) {
        if (event.kind === "ticket") {
            ticket = event.ticket;
            continue;
        }
        if (event.kind === "failed") {
            const response = failureResponse(requestId, event.failure);
            if (ticket !== undefined) {
                response.headers.set(CallerHeader.Ticket, ticket);
            }
            return response;
        }
        if (event.kind === "head") {
            const headers = new Headers(
                event.headers.map(([name, value]): [string, string] => [name, value]),
            );
            headers.set(CallerHeader.RequestId, requestId);
            if (ticket !== undefined) {
                headers.set(CallerHeader.Ticket, ticket);
            }
            const isTokenStream = headers.get("content-type")?.startsWith("text/event-stream") ?? false;
            return new Response(streamAnswer(requestId, isTokenStream, events), {
                status: event.status,
                headers,
            });
        }
    }
    return failureResponse(requestId, {
        code: "broken",
        ran: "outcome unknown",
        message: "the answer ended without a head",
    });
};

/**
 * Creates the callers' interface.
 *
 * @param options - entry and limits
 * @returns a hono application
 */
export const createHttpFront = (options: HttpFrontOptions): Hono => {
    const { entry } = options;
    const app = new Hono();
    app.get("/healthz", context => context.text("ok\n"));
    app.get("/readyz", context => entry.isReady ? context.text("ready\n") : context.text("not ready\n", 503));
    app.use(bodyLimit({ maxSize: options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES }));
    app.all("/:service/*", async context => {
        const requestId = branded<RequestId>(context.req.header(CallerHeader.RequestId) ?? randomUUID());
        const account = findAccount(entry, context.req.header(CallerHeader.Authorization));
        if (account === undefined) {
            return failureResponse(requestId, {
                code: "unauthorized",
                ran: "not run",
                message: 'send the API key of a client account as "Authorization: Bearer KEY"',
            });
        }
        const abort = new AbortController();
        const events = new AsyncQueue<AnswerEvent>(() => abort.abort());
        context.req.raw.signal.addEventListener("abort", () => abort.abort(), { once: true });
        const request = await toCallerRequest(context, requestId, account);
        void entry.serve(request, abort.signal, event => events.push(event)).then(() => events.close());
        return respond(requestId, events);
    });
    return app;
};
