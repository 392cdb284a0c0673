/**
 * HTTP client of the backend server, which is an OpenAI-style model engine or a plain service.
 *
 * @packageDocumentation
 */

import {
    type Address,
    type Clock,
    createSystemClock,
    errorMessage,
    isAborted,
    ProtocolError,
    readBounded,
    ReadPace,
    sleep,
    STREAM_PACE,
} from "@magnolialock/kernel";
import { createParser } from "eventsource-parser";
import { type Dispatcher, errors, Pool } from "undici";
import { z } from "zod";
import {
    type Backend,
    BackendBrokenError,
    type BackendEvent,
    type BackendLoad,
    BackendRefusedError,
    type BackendRequest,
} from "../types/backend.ts";

/** Options of {@link createHttpBackend}. */
export interface HttpBackendOptions {
    /** Address of the backend server. */
    readonly address: Address;
    /** Maximum number of connections to it. */
    readonly maxConnections?: number;
    /** Source of time; the system clock by default. */
    readonly clock?: Clock;
}

const DEFAULT_MAX_CONNECTIONS = 1_024;
const CONNECT_TIMEOUT_MS = 2_000;
/** Largest event of a stream, in bytes. */
const MAX_EVENT_BYTES = 256 * 1024;
/** Largest report of the load, in bytes: it names cached prefixes. */
const MAX_LOAD_BYTES = 4 * 1024 * 1024;
const FIRST_ERROR_STATUS = 400;
const REQUEST_ID_HEADER = "x-request-id";
/** Identifier of the reads of the load. */
const LOAD_REQUEST_ID = "load";
/** Header with which a backend server states that a refused call did not start. */
const NOT_STARTED_HEADER = "x-not-started";

const completionChunk = z.object({
    choices: z.array(z.object({ text: z.string(), finish_reason: z.string().nullable().optional() })).min(1),
});
const loadReport = z.object({
    running: z.number().int(),
    waiting: z.number().int(),
    process_id: z.string().optional(),
    cached_prefixes: z.array(z.string()).default([]),
});

const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "transfer-encoding",
    "upgrade",
]);

const flattenHeaders = (
    headers: Record<string, string | string[] | undefined>,
): (readonly [string, string])[] =>
    Object.entries(headers).flatMap(([name, value]) => {
        if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) {
            return [];
        }
        return (Array.isArray(value) ? value : [value]).map(single => [name, single] as const);
    });

/**
 * Whether the end of the body can be distinguished from a broken connection. A body with any other transfer coding than
 * chunks alone ends with its connection, or is not what the server meant to send.
 */
const hasFraming = ({ headers, statusCode }: Dispatcher.ResponseData, method: string): boolean =>
    method === "HEAD" || BODILESS_STATUSES.has(statusCode) || headers["content-length"] !== undefined
    || String(headers["transfer-encoding"]).toLowerCase() === "chunked";

const didNotConnect = (error: unknown): boolean =>
    error instanceof errors.ConnectTimeoutError
    || (error instanceof Error && "code" in error && error.code === "ECONNREFUSED");

const resumableBody = (request: BackendRequest): Uint8Array | string => {
    if (request.resumeFromToken === 0) {
        return request.body;
    }
    const body = JSON.parse(Buffer.from(request.body).toString()) as Record<string, unknown>;
    return JSON.stringify({
        ...body,
        resume_from_token: request.resumeFromToken,
        resumed_text: request.resumedText,
    });
};

/** Parses the number of an event; undefined if the engine does not number its events. */
const parseEventId = (id: string | undefined): number | undefined => {
    const number = Number(id);
    return id !== undefined && Number.isSafeInteger(number) && number > 0 ? number : undefined;
};

const isDuplicate = (id: string | undefined, lastId: number): boolean =>
    (parseEventId(id) ?? Infinity) <= lastId;

/**
 * Returns the number of an event, or the last number if it has none.
 * Throws a ProtocolError at a gap in the numbers, because tokens are missing then.
 */
const checkedEventId = (id: string | undefined, lastId: number): number => {
    const number = parseEventId(id);
    if (number !== undefined && lastId > 0 && number > lastId + 1) {
        throw new ProtocolError(`events ${lastId + 1} to ${number - 1} of the engine's stream are missing`);
    }
    return number ?? lastId;
};

/** Reads a completion from server-sent events. */
async function* readCompletion(
    body: AsyncIterable<Uint8Array>,
    clock: Clock,
    signal: AbortSignal,
): AsyncGenerator<BackendEvent> {
    let texts: string[] = [];
    let finishReason: string | undefined;
    let isDone = false;
    let lastId = 0;
    let items = 0;
    let bytesSinceEvent = 0;
    const pace = new ReadPace(clock);
    const parser = createParser({
        onComment: comment => {
            items++;
            bytesSinceEvent -= comment.length;
        },
        onEvent: ({ data, id }) => {
            items++;
            bytesSinceEvent = 0;
            if (isDone || isDuplicate(id, lastId)) {
                return;
            }
            lastId = checkedEventId(id, lastId);
            if (data === "[DONE]") {
                isDone = true;
                return;
            }
            const [choice] = completionChunk.parse(JSON.parse(data)).choices;
            if (choice && choice.text !== "") {
                texts.push(choice.text);
            }
            finishReason = choice?.finish_reason ?? finishReason;
        },
    });
    const decoder = new TextDecoder();
    for await (const bytes of body) {
        bytesSinceEvent += bytes.length;
        items = 0;
        parser.feed(decoder.decode(bytes, { stream: true }));
        if (texts.length > 0) {
            yield { kind: "tokens", texts };
            texts = [];
        }
        if (bytesSinceEvent > MAX_EVENT_BYTES) {
            throw new ProtocolError(
                `an event of the engine's stream is larger than ${MAX_EVENT_BYTES} bytes`,
            );
        }
        const delayMs = pace.record(items, bytes.length, STREAM_PACE);
        if (delayMs > 0) {
            await sleep(clock, delayMs, signal);
        }
    }
    if (!isDone) {
        throw new ProtocolError("the engine's stream ended without its end mark");
    }
    yield { kind: "end", finishReason: finishReason ?? "stop" };
}

async function* readPlainBody(body: AsyncIterable<Uint8Array>): AsyncGenerator<BackendEvent> {
    for await (const bytes of body) {
        yield { kind: "body", bytes };
    }
    yield { kind: "end", finishReason: "" };
}

/** Discards the rest of an answer that belongs to another call, with its connection. */
const discard = ({ body }: Dispatcher.ResponseData): void => {
    body.on("error", () => {}).destroy();
};

/**
 * Tells an answer from an earlier one that the server sends once more while the next call runs: by the identifier, if
 * the server repeats it. To any other server each call gets a connection of its own.
 */
class CallIdentifiers {
    private isRepeated = false;

    /** Options of the next call. */
    public get connectionOptions(): { readonly reset?: boolean; } {
        return this.isRepeated ? {} : { reset: true };
    }

    /**
     * Checks the answer to a call.
     *
     * @param response - the answer
     * @param requestId - identifier of the call
     * @throws BackendBrokenError if it belongs to another call: the server may still run this one
     */
    public assertOwn(response: Dispatcher.ResponseData, requestId: string): void {
        const id = response.headers[REQUEST_ID_HEADER];
        if (id === undefined ? this.isRepeated : id !== requestId) {
            discard(response);
            throw new BackendBrokenError(`the answer belongs to call ${id ?? "without an identifier"}`);
        }
        this.isRepeated ||= id !== undefined;
    }

    /**
     * Checks the answer to a read of the load; an earlier one without an identifier does no harm.
     *
     * @param response - the answer
     * @throws ProtocolError if it belongs to a call
     */
    public assertLoad(response: Dispatcher.ResponseData): void {
        const id = response.headers[REQUEST_ID_HEADER];
        if (id !== undefined && id !== LOAD_REQUEST_ID) {
            discard(response);
            throw new ProtocolError("the backend server answered a read of its load with that to a call");
        }
    }
}

/**
 * Creates a client of a backend server.
 *
 * @param options - address and number of connections
 * @returns the client; disposing it closes its connections
 */
export const createHttpBackend = (options: HttpBackendOptions): Backend & AsyncDisposable => {
    const pool = new Pool(`http://${options.address}`, {
        connections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
        pipelining: 1,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const identifiers = new CallIdentifiers();
    const clock = options.clock ?? createSystemClock();

    const send = async (request: BackendRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> => {
        try {
            const hasBody = request.method !== "GET" && request.method !== "HEAD";
            return await pool.request({
                path: request.path,
                method: request.method as Dispatcher.HttpMethod,
                headers: [
                    ...request.headers.filter(([name]) => !HOP_BY_HOP_HEADERS.has(name)).flat(),
                    REQUEST_ID_HEADER,
                    request.requestId,
                ],
                ...identifiers.connectionOptions,
                body: hasBody ? resumableBody(request) : undefined,
                signal,
            });
        }
        catch (error) {
            if (isAborted(error)) {
                throw error;
            }
            const message = `the backend server failed: ${errorMessage(error)}`;
            if (didNotConnect(error)) {
                throw new BackendRefusedError(message, { cause: error, props: { isReachable: false } });
            }
            throw new BackendBrokenError(message, { cause: error });
        }
    };

    async function* run(request: BackendRequest, signal: AbortSignal): AsyncGenerator<BackendEvent> {
        const response = await send(request, signal);
        identifiers.assertOwn(response, request.requestId);
        if (response.headers[NOT_STARTED_HEADER] !== undefined) {
            await response.body.dump();
            throw new BackendRefusedError(`the backend server refused with status ${response.statusCode}`);
        }
        yield { kind: "head", status: response.statusCode, headers: flattenHeaders(response.headers) };
        try {
            if (!hasFraming(response, request.method)) {
                throw new ProtocolError("the answer tells no length, so its end cannot be proved");
            }
            const isTokens = request.isModel && response.statusCode < FIRST_ERROR_STATUS
                && String(response.headers["content-type"]).startsWith("text/event-stream");
            yield* isTokens ? readCompletion(response.body, clock, signal) : readPlainBody(response.body);
        }
        catch (error) {
            throw new BackendBrokenError(`the answer broke: ${errorMessage(error)}`, { cause: error });
        }
    }

    const readLoad = async (signal: AbortSignal): Promise<BackendLoad> => {
        const response = await pool.request({
            path: "/load",
            method: "GET",
            headers: { [REQUEST_ID_HEADER]: LOAD_REQUEST_ID },
            ...identifiers.connectionOptions,
            signal,
        });
        identifiers.assertLoad(response);
        const body = await readBounded(response.body, MAX_LOAD_BYTES);
        const load = loadReport.parse(JSON.parse(body.toString()));
        return {
            running: load.running,
            waiting: load.waiting,
            processId: load.process_id,
            cachedPrefixes: load.cached_prefixes,
        };
    };

    return { run, readLoad, [Symbol.asyncDispose]: () => pool.close() };
};
