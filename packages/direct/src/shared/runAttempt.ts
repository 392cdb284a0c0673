/**
 * Runs one attempt of a request at one backend server. Streams are forwarded event by event; other responses
 * are buffered, so that a truncated one never reaches the caller.
 *
 * @packageDocumentation
 */

import {
    BODY_PACE,
    isFaultSeeded,
    type PaceLimits,
    ReadPace,
    STREAM_PACE,
    type Timer,
} from "@magnolialock/kernel";
import type {
    CallerReply,
    IncomingCall,
    ResponseHead,
    UpstreamCall,
    UpstreamConsumer,
} from "../types/call.ts";
import type { AccountSpec, RouteRule } from "../types/publishedState.ts";
import { buildAttemptHeaders, responseHeader, toCallerHead } from "./callHeaders.ts";
import { classifyResponseHead, type Rejection, type ResponseHeadClass } from "./classifyResponseHead.ts";
import type { DirectContext, ServiceState } from "./directContext.ts";
import { EventStreamSplitter, type StreamEvent } from "./eventStreamSplitter.ts";
import type { BufferedResponse } from "./responseBuffers.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Progress of the caller's stream, over all attempts. */
export interface StreamCursor {
    /** Identifier of the last event that the caller has; undefined if there is none. */
    lastEventId: number | undefined;
    /** Time at which the last event was forwarded, in milliseconds. */
    lastEventMs: number;
    /** Number of forwarded events. */
    eventCount: number;
    /** Longest time between two forwarded events, in milliseconds. */
    longestGapMs: number;
    /** Whether the response head was sent to the caller. */
    isHeadSent: boolean;
    /** Whether another run can continue the stream: not after an event that has no identifier. */
    isResumable: boolean;
    /** Whether the stream may be complete already: its last run ended with its connection, at the end of an event. */
    mayBeComplete: boolean;
}

/**
 * Starts the progress of a caller's stream.
 *
 * @param call - the request
 * @param lastEventIdHeader - name of the header with the last event that the caller already has
 */
export const createStreamCursor = (call: IncomingCall, lastEventIdHeader: string): StreamCursor => {
    const resumeId = Number(call.headers[lastEventIdHeader] ?? Number.NaN);
    return {
        lastEventId: Number.isInteger(resumeId) ? resumeId : undefined,
        lastEventMs: call.receivedMs,
        eventCount: 0,
        longestGapMs: 0,
        isHeadSent: false,
        isResumable: true,
        mayBeComplete: false,
    };
};

/** Options of {@link runAttempt}. */
export interface AttemptOptions {
    /** State of the direct entry. */
    readonly context: DirectContext;
    /** The caller's request. */
    readonly call: IncomingCall;
    /** Reply to the caller. */
    readonly reply: CallerReply;
    /** Route of the request. */
    readonly route: RouteRule;
    /** Account of the caller; undefined if the request has none. */
    readonly account: AccountSpec | undefined;
    /** Backend server of the attempt. */
    readonly server: TrackedServer;
    /** Progress of the stream; the attempt updates it. */
    readonly cursor: StreamCursor;
    /** Remaining time of the caller, in milliseconds. */
    readonly remainingMs: number;
    /** Longest time for which a reused connection may have been idle, in milliseconds. */
    readonly maxIdleMs: number;
    /** Returns the maximum number of idle connections that are kept to the server. */
    readonly maxIdleConnections: () => number;
    /** Aborts the attempt. */
    readonly signal: AbortSignal;
    /** Called at the first byte of a valid response; for a stream, at its first complete event. */
    readonly onFirstByte: () => void;
    /** Called whenever an event of a stream, or bytes of another response, have arrived. */
    readonly onProgress: () => void;
    /** Called once the answer has gone on for a few events, or is complete. */
    readonly onUnderWay: () => void;
}

/** How an attempt ended. */
export type AttemptOutcome =
    /** The stream was forwarded to its end. */
    | { readonly kind: "streamed"; }
    /** The response is complete; it has not been sent to the caller yet. */
    | { readonly kind: "whole"; readonly head: ResponseHead; readonly body: Buffer; }
    /** The server states that it has not run the request. */
    | {
        readonly kind: "notRun";
        /** Address of the server if it refuses because its group cannot run; else undefined. */
        readonly refusingServer: string | undefined;
        /** Why it was rejected as misdirected; undefined if it was not. */
        readonly rejection: Rejection | undefined;
    }
    /** No byte of the request was sent. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The request may have run; its response is missing, truncated or invalid. */
    | { readonly kind: "broken"; readonly message: string; };

const HTTP_OK = 200;
/** Statuses that callers take for the promise that the request has not run, whoever sends them. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Successes that have no body, with or without a length. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 205]);
/** Lines that keep a connection alive and are no event. */
const COMMENTS = /^(?::[^\n]*\n)+\r?\n$/;
/** Events after which an answer is under way: a server that cannot write it ends at its first tokens. */
const EVENTS_UNDER_WAY = 4;

const isSuccess = ({ status }: ResponseHead): boolean => status >= 200 && status < 300;

/** Handles the response of one attempt. */
class ResponseHandler implements UpstreamConsumer, BufferedResponse {
    /** Request to the backend server; set right after its start. */
    public upstream: UpstreamCall | undefined;
    /** Result of the validation of the head; undefined until the head arrives. */
    public headClass: ResponseHeadClass | undefined;
    /** Why the response was rejected; undefined if it was not. */
    public rejectReason: string | undefined;
    /** Head of the response; undefined until it arrives. */
    public head: ResponseHead | undefined;
    /** Whether the response is a stream of events that is forwarded as they arrive. */
    public isStream = false;
    /** Whether the response is a stream of events that is buffered, as its caller could not tell half of it from all. */
    private isBufferedStream = false;
    private readonly options: AttemptOptions;
    private readonly splitter = new EventStreamSplitter();
    private readonly bufferedChunks: Buffer[] = [];
    private bufferedBytes = 0;
    private readonly sentMs: number;
    private readonly state: ServiceState;
    /** Records that the server has read the prompt. */
    private readonly endReading: () => void;
    private hasFirstByte = false;
    /**
     * Whether the next event is known to follow what the caller has. A run that continues a stream shows it by the
     * identifier of its first event; an event without one may be the text of an error.
     */
    private isPlaceKnown: boolean;
    private eventCount = 0;
    private readonly pace: ReadPace;
    /** Reasons for which the response is not read on. */
    private holds = 0;
    private isWaitingForCaller = false;
    /** Time of the latest event of this attempt, in milliseconds; undefined before the first. */
    private lastEventMs: number | undefined;
    /** Whether the response was not read on for a while since then. */
    private wasHeld = false;
    private paceTimer: Timer | undefined;
    /** Until when the response counts as one that will end with its connection. */
    private unverified: Disposable | undefined;
    private isEnded = false;

    public constructor(options: AttemptOptions) {
        this.options = options;
        const { call, context, server } = options;
        this.state = context.service(server.entry.service);
        this.endReading = this.state.unreadPrompts.begin(server, call.headers);
        this.pace = new ReadPace(options.context.options.runtime.clock);
        this.isPlaceKnown = options.cursor.eventCount === 0;
        this.sentMs = options.context.options.runtime.clock.nowMs();
    }

    /** Complete body of a response that is not a stream. */
    public get body(): Buffer {
        return this.bufferedChunks.length === 1
            ? this.bufferedChunks[0] as Buffer
            : Buffer.concat(this.bufferedChunks);
    }

    /** Why a stream that has ended is not complete; undefined if it is, or if the response is no stream. */
    public get incompleteReason(): string | undefined {
        if (!this.isStream && !this.isBufferedStream) {
            return undefined;
        }
        if (this.splitter.pendingBytes > 0) {
            return "the stream ended within an event";
        }
        return this.eventCount === 0 && this.head?.isCloseDelimited && !this.options.cursor.mayBeComplete
            ? "the stream ended before its first event"
            : undefined;
    }

    /**
     * Whether a successful response consists of a head alone although its body has no length: its server may have ended
     * after the head.
     */
    public get isBodyMissing(): boolean {
        const { head, options: { call } } = this;
        return head !== undefined && head.isCloseDelimited === true && this.bufferedBytes === 0
            && isSuccess(head) && !BODILESS_STATUSES.has(head.status) && call.method !== "HEAD";
    }

    /**
     * Records that a successful response has ended; one whose end cannot be verified may come from a server that has
     * ended.
     */
    public recordVerifiedEnd(): void {
        if (this.head?.status === HTTP_OK && !this.head.isCloseDelimited) {
            this.options.onUnderWay();
        }
    }

    /**
     * Whether a success has ended only by the close of its connection, as it also does when the process of its server is
     * killed.
     */
    public get isEndUnverified(): boolean {
        return this.head !== undefined && this.head.isCloseDelimited === true && isSuccess(this.head);
    }

    /** Sends the caller the head of a complete stream that has no events. */
    public sendHeadOnce(): void {
        const { cursor, reply } = this.options;
        if (!cursor.isHeadSent && this.head) {
            cursor.isHeadSent = true;
            reply.startStream(toCallerHead(this.head));
        }
    }

    public onHead(head: ResponseHead): void {
        const { call, context, reply, route, server } = this.options;
        const { headers: names } = context.options;
        this.head = head;
        const expected = { requestHeaders: call.headers, server: server.entry.id };
        this.headClass = classifyResponseHead(head, expected, names);
        if (this.headClass.kind === "foreign") {
            this.reject(this.headClass.message);
            return;
        }
        const isOfOther = this.headClass.kind === "notRun" && this.headClass.rejection === "otherServer";
        if (!isOfOther) {
            context.limits.record(server, head);
            context.options.directory.recordAnswer(server, head);
        }
        const isEventStream = responseHeader(head, "content-type")?.startsWith("text/event-stream") ?? false;
        const mayStream = this.headClass.kind === "own" && route.answer === "stream"
            && head.status === HTTP_OK && isEventStream;
        this.isStream = mayStream && reply.canStream;
        this.isBufferedStream = mayStream && !reply.canStream;
        if (this.isEndUnverified) {
            this.unverified = context.answerEnds.begin(server);
        }
        if (!this.isStream) {
            this.recordFirstByte();
        }
    }

    public onData(bytes: Buffer): void {
        if (this.rejectReason !== undefined) {
            return;
        }
        if (this.isStream) {
            this.forwardEvents(bytes);
            return;
        }
        this.options.onProgress();
        if (this.isBufferedStream) {
            this.eventCount += this.splitter.push(bytes).length;
        }
        this.bufferedChunks.push(bytes);
        this.bufferedBytes += bytes.length;
        this.options.context.responseBuffers.set(this, this.bufferedBytes);
        this.keepPace(1, bytes.length, BODY_PACE);
    }

    /** {@inheritDoc BufferedResponse.giveUp} */
    public giveUp(reason: string): void {
        this.bufferedChunks.length = 0;
        this.reject(reason);
    }

    /** Ends the response: it is neither paused nor resumed any more. */
    public end(): void {
        this.isEnded = true;
        this.endReading();
        this.paceTimer?.cancel();
        this.unverified?.[Symbol.dispose]();
    }

    private forwardEvents(bytes: Buffer): void {
        const events = this.splitter.push(bytes);
        const firstWrong = events.findIndex(event => !this.acceptEvent(event));
        const accepted = firstWrong < 0 ? events : events.slice(0, firstWrong);
        const wrong = events[firstWrong];
        if (accepted.length > 0) {
            this.forward(Buffer.concat(accepted.map(event => event.bytes)), accepted.length);
        }
        if (wrong) {
            const { lastEventId } = this.options.cursor;
            this.reject(`event ${wrong.id ?? "without an identifier"} came after event ${lastEventId}`);
        }
        else if (this.splitter.isOverlong) {
            this.reject("an event is larger than the limit");
        }
    }

    /** Moves the cursor to the next event; returns false if the event does not follow what the caller has. */
    private acceptEvent({ bytes, id }: StreamEvent): boolean {
        const { cursor } = this.options;
        this.recordFirstByte();
        const isComment = id === undefined && COMMENTS.test(bytes.toString("latin1"));
        const isInOrder = id === undefined
            ? this.isPlaceKnown || isComment
            : cursor.lastEventId === undefined || id === cursor.lastEventId + 1;
        if (!isInOrder && !isFaultSeeded("direct.skip-event-order")) {
            return false;
        }
        this.isPlaceKnown ||= id !== undefined;
        cursor.lastEventId = id ?? cursor.lastEventId;
        cursor.isResumable = id !== undefined || isComment && cursor.isResumable;
        cursor.mayBeComplete = false;
        cursor.eventCount++;
        this.eventCount++;
        if (this.eventCount === EVENTS_UNDER_WAY) {
            this.options.onUnderWay();
        }
        return true;
    }

    /** Sends events that arrived together, and reads on when the caller and the pace of the stream allow it. */
    private forward(bytes: Buffer, events: number): void {
        const { context, cursor, onProgress, reply } = this.options;
        const { clock } = context.options.runtime;
        onProgress();
        this.recordPause();
        if (cursor.eventCount > events) {
            cursor.longestGapMs = Math.max(cursor.longestGapMs, clock.nowMs() - cursor.lastEventMs);
        }
        cursor.lastEventMs = clock.nowMs();
        this.sendHeadOnce();
        if (!reply.write(bytes) && !this.isWaitingForCaller) {
            this.isWaitingForCaller = true;
            this.hold();
            reply.onDrain(() => {
                this.isWaitingForCaller = false;
                this.release();
            });
        }
        this.keepPace(events, bytes.length, STREAM_PACE);
    }

    /** Records the time since the server's previous event, unless the stream was held up on the way to the caller. */
    private recordPause(): void {
        const { context, server } = this.options;
        const nowMs = context.options.runtime.clock.nowMs();
        if (this.lastEventMs !== undefined && !this.wasHeld) {
            this.state.passBudget.recordPause(server.groupName, nowMs - this.lastEventMs);
        }
        this.lastEventMs = nowMs;
        this.wasHeld = this.holds > 0;
    }

    private keepPace(items: number, bytes: number, limits: PaceLimits): void {
        const delayMs = this.pace.record(items, bytes, limits);
        if (delayMs > 0 && !this.paceTimer) {
            this.hold();
            this.paceTimer = this.options.context.options.runtime.clock.setTimer(delayMs, () => {
                this.paceTimer = undefined;
                this.release();
            });
        }
    }

    private hold(): void {
        this.wasHeld = true;
        if (this.holds++ === 0) {
            this.upstream?.pause();
        }
    }

    private release(): void {
        if (--this.holds === 0 && !this.isEnded) {
            this.upstream?.resume();
        }
    }

    private recordFirstByte(): void {
        if (!this.hasFirstByte && this.headClass?.kind === "own") {
            this.hasFirstByte = true;
            this.endReading();
            const { context, onFirstByte, server } = this.options;
            onFirstByte();
            server.recordLatency(context.options.runtime.clock.nowMs() - this.sentMs);
        }
    }

    private reject(message: string): void {
        this.rejectReason ??= message;
        this.upstream?.abort(message);
    }
}

const outcomeOf = (handler: ResponseHandler, route: RouteRule): AttemptOutcome => {
    const { head, headClass } = handler;
    if (!head || !headClass || headClass.kind === "foreign" || handler.rejectReason !== undefined) {
        return { kind: "broken", message: handler.rejectReason ?? "the answer has no head" };
    }
    if (headClass.kind === "notRun") {
        return headClass;
    }
    if (route.repeat === "never" && NOT_RUN_STATUSES.has(head.status)) {
        return {
            kind: "broken",
            message: `status ${head.status} without the word that the request was not run`,
        };
    }
    const { incompleteReason } = handler;
    if (incompleteReason !== undefined) {
        return { kind: "broken", message: incompleteReason };
    }
    if (!handler.isStream) {
        if (handler.isBodyMissing) {
            return { kind: "broken", message: "the answer ended before its body" };
        }
        handler.recordVerifiedEnd();
        return { kind: "whole", head, body: handler.body };
    }
    handler.sendHeadOnce();
    handler.recordVerifiedEnd();
    return { kind: "streamed" };
};

/**
 * Runs one attempt.
 *
 * @param options - request, server and reply to the caller
 * @returns how the attempt ended
 */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptOutcome> => {
    const { account, call, context, cursor, route, server, signal, remainingMs } = options;
    const { entry } = server;
    const requestId = call.headers[context.options.headers.requestId];
    const isResumed = cursor.isHeadSent && cursor.lastEventId !== undefined;
    const headers = buildAttemptHeaders(call, context.options.headers, {
        route,
        account,
        targetServer: entry.id,
        remainingMs,
        lastEventId: isResumed ? cursor.lastEventId : undefined,
    });
    const handler = new ResponseHandler(options);
    const { body, method, path } = call;
    const request = {
        method,
        path,
        headers,
        body,
        maxIdleMs: options.maxIdleMs,
        maxIdleConnections: options.maxIdleConnections,
    };
    const upstream = context.options.upstreams.start(entry.id, entry.address, request, handler);
    handler.upstream = upstream;
    const onAbort = (): void => upstream.abort("the call was given up");
    signal.addEventListener("abort", onAbort, { once: true });
    try {
        const end = await upstream.ended;
        if (end.kind === "complete" || end.kind === "broken" && handler.rejectReason !== undefined) {
            const outcome = outcomeOf(handler, route);
            const isSuccessful = outcome.kind === "streamed" || outcome.kind === "whole";
            if (
                isSuccessful && handler.isEndUnverified
                && !await context.answerEnds.isComplete(server, requestId)
            ) {
                cursor.mayBeComplete = outcome.kind === "streamed";
                return {
                    kind: "broken",
                    message: "the server ended as it closed the connection of its answer",
                };
            }
            return outcome;
        }
        if (signal.aborted && !handler.head && !options.reply.disconnected.aborted) {
            // The connection may have gone silent, and idle ones to the same server with it.
            context.options.upstreams.closeIdle(entry.id);
        }
        return end;
    }
    finally {
        handler.end();
        context.responseBuffers.set(handler, 0);
        signal.removeEventListener("abort", onAbort);
    }
};
