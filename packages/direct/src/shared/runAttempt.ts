/**
 * One attempt of a call at one backend server. Streams are passed on event by event, other answers are collected so
 * that a cut one never reaches the caller.
 *
 * @packageDocumentation
 */

import { isFaultSeeded } from "@magnolialock/kernel";
import type { AnswerHead, CallerReply, IncomingCall, UpstreamCall, UpstreamConsumer } from "../types/call.ts";
import type { AccountSpec, RouteRule } from "../types/fleetPicture.ts";
import { type HeadVerdict, judgeHead } from "./answerCheck.ts";
import { answerHeader, attemptHeaders, callerHead } from "./callHeaders.ts";
import type { DirectContext } from "./directContext.ts";
import { EventStreamSplitter } from "./eventStreamSplitter.ts";
import type { KnownServer } from "./knownServer.ts";

/** Where the caller's stream stands, over all attempts. */
export interface StreamCursor {
    /** Identifier of the last event that the caller has; undefined before the first. */
    lastEventId: number | undefined;
    /** When the last event was passed on, in milliseconds. */
    lastEventMs: number;
    /** Events that were passed on. */
    eventCount: number;
    /** Longest pause between two of them, in milliseconds. */
    longestGapMs: number;
    /** Whether the head was sent. */
    isHeadSent: boolean;
}

/** Options of {@link runAttempt}. */
export interface AttemptOptions {
    /** The entry. */
    readonly context: DirectContext;
    /** The caller's request. */
    readonly call: IncomingCall;
    /** Way back to the caller. */
    readonly reply: CallerReply;
    /** Route of the request. */
    readonly route: RouteRule;
    /** Whose request it is. */
    readonly account: AccountSpec | undefined;
    /** Where to send it. */
    readonly server: KnownServer;
    /** Where the stream stands. */
    readonly cursor: StreamCursor;
    /** Time left, in milliseconds. */
    readonly timeLeftMs: number;
    /** Longest idle time of a kept connection that may be used, in milliseconds. */
    readonly maxIdleMs: number;
    /** Most idle connections that are kept to the server. */
    readonly maxKept: number;
    /** Gives the attempt up. */
    readonly signal: AbortSignal;
    /** Called when the server has begun to work on the request. */
    readonly onServing: () => void;
}

/** How an attempt ended. */
export type AttemptOutcome =
    /** The stream was passed on to its end. */
    | { readonly kind: "streamed"; }
    /** A complete answer that the caller has not got yet. */
    | { readonly kind: "whole"; readonly head: AnswerHead; readonly body: Buffer; }
    /** The server says that it has not run the request. */
    | { readonly kind: "notRun"; readonly fault: string | undefined; readonly isMisdirected: boolean; }
    /** Not a byte of the request has left. */
    | { readonly kind: "notSent"; readonly message: string; }
    /** The request may have run; its answer is missing, cut or not its own. */
    | { readonly kind: "broken"; readonly message: string; };

/** Largest answer that is collected before the caller gets it, in bytes; each call under way may hold one. */
const MAX_COLLECTED_BYTES = 8 * 1024 * 1024;
const HTTP_OK = 200;

/** Takes one answer. */
class AnswerTaker implements UpstreamConsumer {
    /** The call; set right after its start. */
    public upstream: UpstreamCall | undefined;
    /** What the head means. */
    public verdict: HeadVerdict | undefined;
    /** Why the answer was given up. */
    public fault: string | undefined;
    /** Head of the answer. */
    public head: AnswerHead | undefined;
    /** Whether the answer is a stream of events. */
    public isStream = false;
    private readonly options: AttemptOptions;
    private readonly splitter = new EventStreamSplitter();
    private readonly collected: Buffer[] = [];
    private collectedBytes = 0;
    private readonly sentMs: number;
    private hasFirstByte = false;

    public constructor(options: AttemptOptions) {
        this.options = options;
        this.sentMs = options.context.options.runtime.clock.nowMs();
    }

    /** Whole body of an answer that is not a stream. */
    public get body(): Buffer {
        return this.collected.length === 1 ? this.collected[0] as Buffer : Buffer.concat(this.collected);
    }

    /** Whether the stream stopped within an event. */
    public get hasPartialEvent(): boolean {
        return this.splitter.pendingBytes > 0;
    }

    public onHead(head: AnswerHead): void {
        const { call, context, route } = this.options;
        const { headers: names } = context.options;
        this.head = head;
        this.verdict = judgeHead(head, call.headers[names.requestId], names);
        if (this.verdict.kind === "foreign") {
            this.giveUp(this.verdict.message);
            return;
        }
        const isEventStream = answerHeader(head, "content-type")?.startsWith("text/event-stream") ?? false;
        this.isStream = this.verdict.kind === "own" && route.answer === "stream" && head.status === HTTP_OK
            && isEventStream;
        if (!this.isStream) {
            this.noteFirstByte();
        }
    }

    public onData(bytes: Buffer): void {
        if (this.fault !== undefined) {
            return;
        }
        if (this.isStream) {
            this.passEvents(bytes);
            return;
        }
        this.collected.push(bytes);
        this.collectedBytes += bytes.length;
        if (this.collectedBytes > MAX_COLLECTED_BYTES) {
            this.giveUp(`the answer is larger than ${MAX_COLLECTED_BYTES} bytes`);
        }
    }

    private passEvents(bytes: Buffer): void {
        const { context, cursor, reply } = this.options;
        for (const event of this.splitter.push(bytes)) {
            this.noteFirstByte();
            const { id } = event;
            const isInOrder = id === undefined || cursor.lastEventId === undefined
                || id === cursor.lastEventId + 1;
            if (!isInOrder && !isFaultSeeded("direct.skip-event-order")) {
                this.giveUp(`event ${id} came after event ${cursor.lastEventId}`);
                return;
            }
            if (!cursor.isHeadSent) {
                cursor.isHeadSent = true;
                reply.startStream(callerHead(this.head as AnswerHead));
            }
            cursor.lastEventId = id ?? cursor.lastEventId;
            const nowMs = context.options.runtime.clock.nowMs();
            if (cursor.eventCount > 0) {
                cursor.longestGapMs = Math.max(cursor.longestGapMs, nowMs - cursor.lastEventMs);
            }
            cursor.eventCount++;
            cursor.lastEventMs = nowMs;
            if (!reply.write(event.bytes)) {
                this.upstream?.pause();
                reply.onDrain(() => this.upstream?.resume());
            }
        }
    }

    private noteFirstByte(): void {
        if (!this.hasFirstByte && this.verdict?.kind === "own") {
            this.hasFirstByte = true;
            const { context, onServing, server } = this.options;
            onServing();
            server.noteLatency(context.options.runtime.clock.nowMs() - this.sentMs);
        }
    }

    private giveUp(message: string): void {
        this.fault ??= message;
        this.upstream?.abort(message);
    }
}

const outcomeOf = (taker: AnswerTaker): AttemptOutcome => {
    const { head, verdict } = taker;
    if (!head || !verdict || verdict.kind === "foreign" || taker.fault !== undefined) {
        return { kind: "broken", message: taker.fault ?? "the answer has no head" };
    }
    if (verdict.kind === "notRun") {
        return verdict;
    }
    if (!taker.isStream) {
        return { kind: "whole", head, body: taker.body };
    }
    return taker.hasPartialEvent
        ? { kind: "broken", message: "the stream ended within an event" }
        : { kind: "streamed" };
};

/**
 * Runs one attempt.
 *
 * @param options - request, server and who gets the answer
 * @returns how it ended
 */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptOutcome> => {
    const { account, call, context, cursor, route, server, signal, timeLeftMs } = options;
    const { entry } = server;
    const isResumed = cursor.isHeadSent && cursor.lastEventId !== undefined;
    const headers = attemptHeaders(call, context.options.headers, {
        route,
        account,
        targetServer: entry.id,
        timeLeftMs,
        lastEventId: isResumed ? cursor.lastEventId : undefined,
    });
    const taker = new AnswerTaker(options);
    const { body, method, path } = call;
    const request = { method, path, headers, body, maxIdleMs: options.maxIdleMs, maxKept: options.maxKept };
    const upstream = context.options.upstreams.start(entry.id, entry.address, request, taker);
    taker.upstream = upstream;
    const onAbort = (): void => upstream.abort("the call was given up");
    signal.addEventListener("abort", onAbort, { once: true });
    try {
        const end = await upstream.ended;
        if (end.kind === "complete" || end.kind === "broken" && taker.fault !== undefined) {
            return outcomeOf(taker);
        }
        return end;
    }
    finally {
        signal.removeEventListener("abort", onAbort);
    }
};
