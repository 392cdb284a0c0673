/**
 * HTTP interface for callers.
 *
 * @packageDocumentation
 */

import {
    AsyncQueue,
    branded,
    type ClientAccountId,
    errorMessage,
    formatFinding,
    ProtocolError,
    type RequestId,
    type ServiceName,
} from "@magnolialock/kernel";
import { type Context, Hono } from "hono";
import { randomUUID } from "node:crypto";
import type { Entry } from "../shared/entry.ts";
import { ranStateWithoutAttempt } from "../shared/ranStateWithoutAttempt.ts";
import type { AnswerEvent, CallerRequest, Failure } from "../types/caller.ts";
import { AccountIndex } from "./accountIndex.ts";
import { streamAnswer } from "./answerStream.ts";
import { breakConnection, canDelimitBody, onCallerDisconnect, readBody } from "./callerConnection.ts";
import { CallerHeader, type CallerHeaders, forwardedHeaders, readCallerHeaders } from "./callerHeaders.ts";
import { failureResponse } from "./failureResponse.ts";

/** Options of {@link createHttpApp}. */
export interface HttpAppOptions {
    /** Entry that serves the requests. */
    readonly entry: Entry;
    /** Largest accepted body, in bytes. */
    readonly maxBodyBytes?: number;
}

const DEFAULT_MAX_BODY_BYTES = 1_048_576;
/** Largest answer that is read to its end before it is sent, in bytes. */
const MAX_BUFFERED_BYTES = 8_388_608;

/** Cannot collide with a service, because service names start with a letter. */
const TICKET_PATH = "/_tickets/:service";
const HTTP_CREATED = 201;
const TICKET_RETRY_AFTER_MS = 1_000;
const UNAUTHORIZED_MESSAGE = 'send the API key of a client account as "Authorization: Bearer KEY"';

/** A failure reported by this entry without having called an agent. */
const refusal = (code: Failure["code"], message: string, ticket?: string): Failure => ({
    code,
    ran: ranStateWithoutAttempt(ticket),
    message,
});

const toCallerRequest = (
    context: Context,
    requestId: RequestId,
    account: ClientAccountId,
    headers: CallerHeaders,
    body: Uint8Array,
): CallerRequest => {
    const { pathname, search } = new URL(context.req.url);
    const [, service = "", ...rest] = pathname.split("/");
    const { timeoutMs, ticket, idempotencyKey, priority } = headers;
    return {
        requestId,
        account,
        service: branded<ServiceName>(service),
        method: context.req.method,
        path: `/${rest.join("/")}${search}`,
        headers: forwardedHeaders(context.req.header()),
        body,
        timeoutMs,
        ticket,
        idempotencyKey,
        priority,
    };
};

const isEventStream = (headers: Headers): boolean =>
    headers.get("content-type")?.startsWith("text/event-stream") ?? false;

const answerResponse = (
    requestId: RequestId,
    head: AnswerEvent & { readonly kind: "head"; },
    ticket: string | undefined,
    events: AsyncQueue<AnswerEvent>,
    onBroken: () => void,
): Response => {
    const headers = new Headers(head.headers.map(([name, value]): [string, string] => [name, value]));
    headers.set(CallerHeader.RequestId, requestId);
    if (ticket !== undefined) {
        headers.set(CallerHeader.Ticket, ticket);
    }
    const isTokenStream = isEventStream(headers);
    const body = streamAnswer({ requestId, isTokenStream, events, onBroken });
    return new Response(body, { status: head.status, headers });
};

/** Waits for the head or the failure of an answer and builds the response. */
const respond = async (
    requestId: RequestId,
    events: AsyncQueue<AnswerEvent>,
    onBroken: () => void,
): Promise<Response> => {
    let ticket: string | undefined;
    for (let next = await events.next(); !next.done; next = await events.next()) {
        const event = next.value;
        if (event.kind === "ticket") {
            ({ ticket } = event);
        }
        else if (event.kind === "failed") {
            return failureResponse(requestId, event.failure, ticket);
        }
        else if (event.kind === "head") {
            return answerResponse(requestId, event, ticket, events, onBroken);
        }
    }
    const message = "the answer ended without a head";
    return failureResponse(requestId, { code: "broken", ran: "outcome unknown", message }, ticket);
};

/** Reads an answer to its end, so that it can be sent with its length. */
const withLength = async (requestId: RequestId, answer: Response): Promise<Response> => {
    const { headers, status } = answer;
    try {
        const chunks: Uint8Array[] = [];
        let size = 0;
        for await (const chunk of answer.body as unknown as AsyncIterable<Uint8Array>) {
            size += chunk.length;
            if (size > MAX_BUFFERED_BYTES) {
                throw new ProtocolError(
                    `an answer without chunks is larger than ${MAX_BUFFERED_BYTES} bytes`,
                );
            }
            chunks.push(chunk);
        }
        headers.set("content-length", String(size));
        return new Response(Buffer.concat(chunks), { status, headers });
    }
    catch (error) {
        const message = errorMessage(error);
        return failureResponse(requestId, { code: "broken", ran: "outcome unknown", message });
    }
};

const serveCaller = async (
    entry: Entry,
    accounts: AccountIndex,
    maxBodyBytes: number,
    context: Context,
): Promise<Response> => {
    const { headers, findings } = readCallerHeaders(name => context.req.header(name));
    const requestId = headers.requestId ?? branded<RequestId>(randomUUID());
    const ticket = context.req.header(CallerHeader.Ticket);
    if (findings.length > 0) {
        return failureResponse(
            requestId,
            refusal("bad-request", findings.map(formatFinding).join("; "), ticket),
        );
    }
    const account = accounts.find(context.req.header(CallerHeader.Authorization));
    if (account === undefined) {
        const message = 'send the API key of a client account as "Authorization: Bearer KEY"';
        return failureResponse(requestId, refusal("unauthorized", message, ticket));
    }
    const body = await readBody(context, maxBodyBytes);
    if (body.kind === "too-large") {
        return failureResponse(
            requestId,
            refusal("too-large", `keep the body at or under ${maxBodyBytes} bytes`, ticket),
        );
    }
    const request = toCallerRequest(context, requestId, account, headers, body.bytes);
    const abort = new AbortController();
    const events = new AsyncQueue<AnswerEvent>(() => abort.abort());
    onCallerDisconnect(context, () => abort.abort());
    entry.serve(request, abort.signal, event => events.push(event)).then(
        () => events.close(),
        error => events.fail(error),
    );
    if (canDelimitBody(context)) {
        return respond(requestId, events, () => breakConnection(context));
    }
    const answer = await respond(requestId, events, () => {});
    // The end mark of a token stream shows that it is complete.
    return isEventStream(answer.headers) || !answer.body ? answer : withLength(requestId, answer);
};

const serveTicket = (entry: Entry, accounts: AccountIndex, context: Context): Response => {
    const requestId = randomUUID();
    if (accounts.find(context.req.header(CallerHeader.Authorization)) === undefined) {
        return failureResponse(requestId, refusal("unauthorized", UNAUTHORIZED_MESSAGE));
    }
    const service = branded<ServiceName>(context.req.param("service") ?? "");
    if (!entry.context.configuration.current?.rules.services.has(service)) {
        return failureResponse(requestId, refusal("unknown-service", `no service is named "${service}"`));
    }
    const ticket = entry.issueTicket(service);
    if (ticket === "") {
        const message = `no backend server of ${service} can take a request now`;
        return failureResponse(requestId, {
            ...refusal("unavailable", message),
            retryAfterMs: TICKET_RETRY_AFTER_MS,
        });
    }
    return new Response(JSON.stringify({ ticket }), {
        status: HTTP_CREATED,
        headers: { "content-type": "application/json", [CallerHeader.Ticket]: ticket },
    });
};

/**
 * Creates the HTTP application for callers.
 *
 * @param options - entry and body limit
 * @returns the Hono application
 */
export const createHttpApp = (options: HttpAppOptions): Hono => {
    const { entry } = options;
    const maxBodyBytes = options.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const accounts = new AccountIndex(entry.context.configuration);
    const app = new Hono();
    app.get("/healthz", context => context.text("ok\n"));
    app.get("/readyz", context => entry.isReady ? context.text("ready\n") : context.text("not ready\n", 503));
    app.post(TICKET_PATH, context => serveTicket(entry, accounts, context));
    app.all("/:service/*", context => serveCaller(entry, accounts, maxBodyBytes, context));
    app.notFound(() =>
        failureResponse(
            randomUUID(),
            refusal("unknown-service", "write the path as /SERVICE/PATH of the service"),
        )
    );
    app.onError(error =>
        failureResponse(randomUUID(), { code: "broken", ran: "outcome unknown", message: error.message })
    );
    return app;
};
