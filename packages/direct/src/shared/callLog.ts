/**
 * Log lines and metrics of one admitted request.
 *
 * @packageDocumentation
 */

import type { AdmittedCall } from "../types/admittedCall.ts";
import type { IncomingCall } from "../types/call.ts";
import type { DirectContext } from "./directContext.ts";
import {
    attemptFailed,
    callAnswered,
    callFailed,
    callLeft,
    callLeftAtStop,
    callRefused,
} from "./directEvents.ts";
import { sharedPromptParts } from "./promptParts.ts";
import { requestIdentity } from "./requestIdentity.ts";
import type { AttemptOutcome, StreamCursor } from "./runAttempt.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Progress of a request over all its attempts; the request updates it. */
export interface CallProgress {
    /** Attempts that reached a backend server. */
    sentAttempts: number;
    /** Whether an attempt may have run, so that a refusal could no longer claim the opposite. */
    mayHaveRun: boolean;
    /** Time in the admission queue, in milliseconds. */
    queuedMs: number;
    /** Time from the receipt to the first byte, in milliseconds; undefined before it. */
    firstByteMs: number | undefined;
    /** Backend server of the latest attempt. */
    lastServer: TrackedServer | undefined;
    /** Progress of the stream. */
    readonly cursor: StreamCursor;
}

/** Writes the log lines of one request and counts it. */
export class CallLog {
    /**
     * @param context - state of the direct entry
     * @param call - the request
     * @param admitted - its route, account and service
     * @param progress - its progress
     */
    public constructor(
        private readonly context: DirectContext,
        private readonly call: IncomingCall,
        private readonly admitted: AdmittedCall,
        private readonly progress: CallProgress,
    ) {}

    /**
     * Records a response that came from a backend server.
     *
     * @param status - its status
     */
    public answered(status: number): void {
        this.context.options.runtime.events.emit(callAnswered, this.fields(status));
        this.count("answered", status);
    }

    /**
     * Records a request that failed after it may have run.
     *
     * @param status - status that the caller got; 0 if its stream was aborted
     * @param reason - why it failed
     */
    public failed(status: number, reason: string): void {
        const { lastEventId } = this.progress.cursor;
        const details = status === 0 ? { reason, lastEventId } : { reason };
        this.context.options.runtime.events.emit(callFailed, { ...this.fields(status), ...details });
        this.count("failed", status);
    }

    /**
     * Records a request that was refused without having run.
     *
     * @param status - status that the caller got
     * @param reason - why it was refused
     * @param retryAfterMs - delay after which the caller should retry, in milliseconds
     */
    public refused(status: number, reason: string, retryAfterMs: number): void {
        const details = { reason, retryAfterMs: Math.round(retryAfterMs) };
        this.context.options.runtime.events.emit(callRefused, { ...this.fields(status), ...details });
        this.count("refused", status);
    }

    /** Records that the caller disconnected. */
    public left(): void {
        const event = this.context.stop.isBegun ? callLeftAtStop : callLeft;
        this.context.options.runtime.events.emit(event, this.fields(0));
        this.count("left", 0);
    }

    /**
     * Records an attempt that brought no answer.
     *
     * @param server - its backend server
     * @param outcome - how it ended
     */
    public attemptFailed(
        server: TrackedServer,
        outcome: Exclude<AttemptOutcome, { readonly kind: "streamed" | "whole"; }>,
    ): void {
        const { headers, runtime, store } = this.context.options;
        const parts = sharedPromptParts(this.call, headers);
        runtime.events.emit(attemptFailed, {
            requestId: this.requestId,
            request: requestIdentity(this.call, this.admitted, parts.length > 0),
            promptParts: parts.join(" "),
            events: this.progress.cursor.eventCount,
            server: server.entry.id,
            outcome: outcome.kind,
            detail: outcome.kind === "notRun" ? outcome.refusingServer : outcome.message,
            running: server.running,
            revision: store.revision,
        });
    }

    private get requestId(): string | undefined {
        return this.call.headers[this.context.options.headers.requestId];
    }

    private get elapsedMs(): number {
        return this.context.options.runtime.clock.nowMs() - this.call.receivedMs;
    }

    private count(result: "answered" | "refused" | "failed" | "left", status: number): void {
        this.context.options.metrics.countCall(result, this.admitted.service, status, this.elapsedMs);
    }

    private fields(status: number): Record<string, string | number | boolean | undefined> {
        const { account, route, service, version } = this.admitted;
        const { cursor, firstByteMs, lastServer, mayHaveRun, queuedMs, sentAttempts } = this.progress;
        return {
            requestId: this.requestId,
            route: route.name,
            service,
            account: account?.account,
            status,
            server: lastServer?.entry.id,
            attempts: sentAttempts,
            mayHaveRun,
            queuedMs,
            firstByteMs,
            longestGapMs: Math.round(cursor.longestGapMs),
            durationMs: Math.round(this.elapsedMs),
            version,
        };
    }
}
