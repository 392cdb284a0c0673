/**
 * Runs one admitted request: makes attempts until one succeeds or no further one is allowed.
 *
 * @packageDocumentation
 */

import { isFaultSeeded, timeoutSignal } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import type { AdmittedCall } from "../types/admittedCall.ts";
import type { CallerReply, IncomingCall, ResponseHead } from "../types/call.ts";
import type { NextStep } from "../types/nextStep.ts";
import type { QueuedCall } from "./admissionQueue.ts";
import { toCallerHead } from "./callHeaders.ts";
import { CallLog, type CallProgress } from "./callLog.ts";
import { REJECTION_REASONS } from "./classifyResponseHead.ts";
import { CrashGuard, refusalReason } from "./crashGuard.ts";
import type { DirectContext, ServiceState } from "./directContext.ts";
import { serverEjected } from "./directEvents.ts";
import type { GroupHealth } from "./groupHealth.ts";
import { sendLocalReply } from "./localReply.ts";
import { toQueuedCall } from "./queuedCall.ts";
import { type RefusalCause, refusalDelayMs } from "./refusalDelay.ts";
import { type AttemptOutcome, createStreamCursor, runAttempt, type StreamCursor } from "./runAttempt.ts";
import { ServerWait } from "./serverWait.ts";
import type { TrackedServer } from "./trackedServer.ts";

const HTTP_OK = 200;
const HTTP_SERVER_ERROR = 500;
const HTTP_BAD_GATEWAY = 502;
const HTTP_UNAVAILABLE = 503;
const HTTP_GATEWAY_TIMEOUT = 504;
/**
 * Attempts that may fail before a byte was sent, in addition to the route's maximum: each server that has
 * disappeared costs one.
 */
const MAX_UNSENT_ATTEMPTS = 3;
/**
 * Longest idle time of a connection for requests that must not be repeated, in milliseconds. Such a request
 * is lost if the connection breaks, so it uses only a recently used one.
 */
const NON_REPEATABLE_MAX_IDLE_MS = 700;
/** Longest idle time of a connection for requests that may be repeated, in milliseconds. */
const REPEATABLE_MAX_IDLE_MS = 30_000;
/**
 * Share of the remaining time after which a request that may be repeated, and has no response yet, is retried
 * at another server. Streams are not retried for this reason.
 */
const FIRST_ATTEMPT_TIME_SHARE = 0.4;
/** Runs one admitted request. */
export class CallTask {
    private readonly state: ServiceState;
    private readonly progress: CallProgress;
    private readonly log: CallLog;
    private readonly guard: CrashGuard;
    private readonly wait: ServerWait;
    private readonly tried = new Set<TrackedServer>();
    private readonly deadlineMs: number;
    private readonly callerDeadlineMs: number;
    private unsentAttempts = 0;
    private isGroupDown = false;
    private isRefusedByQueue = false;
    private isUnderWay = false;
    private isTooLate = false;
    private quarantineMs: number | undefined;
    private limitWaitMs: number | undefined;
    private lastFailure: { readonly head: ResponseHead; readonly body: Buffer; } | undefined;

    /**
     * @param context - state of the direct entry
     * @param call - the request
     * @param reply - reply to the caller
     * @param admitted - its route, account and service
     */
    public constructor(
        private readonly context: DirectContext,
        private readonly call: IncomingCall,
        private readonly reply: CallerReply,
        private readonly admitted: AdmittedCall,
    ) {
        const { headers } = context.options;
        const { route, service } = admitted;
        this.state = context.service(service);
        const requestedTimeoutMs = Number(call.headers[headers.remainingMs]);
        const callerTimeoutMs = Number.isFinite(requestedTimeoutMs) && requestedTimeoutMs > 0
            ? requestedTimeoutMs
            : route.timeoutMs;
        this.callerDeadlineMs = call.receivedMs + callerTimeoutMs;
        this.deadlineMs = call.receivedMs + Math.min(callerTimeoutMs, route.timeoutMs);
        this.progress = {
            sentAttempts: 0,
            mayHaveRun: false,
            queuedMs: 0,
            firstByteMs: undefined,
            lastServer: undefined,
            cursor: createStreamCursor(call, headers.lastEventId),
        };
        this.log = new CallLog(context, call, admitted, this.progress);
        this.guard = new CrashGuard(context, call, admitted);
        this.wait = new ServerWait({ clock: context.options.runtime.clock, route, progress: this.progress });
    }

    private get cursor(): StreamCursor {
        return this.progress.cursor;
    }

    private get nowMs(): number {
        return this.context.options.runtime.clock.nowMs();
    }

    private get isRepeatable(): boolean {
        return this.admitted.route.repeat !== "never";
    }

    /** Runs the request to its end; resolves once the caller has its response or has disconnected. */
    public async run(): Promise<void> {
        const { clock } = this.context.options.runtime;
        const { endSignal } = this.context;
        const { disconnected } = this.reply;
        using timeout = timeoutSignal(clock, this.deadlineMs - this.nowMs, disconnected, endSignal);
        const isOver = (): boolean => timeout.signal.aborted || this.nowMs >= this.deadlineMs;
        for (;;) {
            const step = isOver() ? undefined : await this.runStep(timeout.signal);
            if (step?.kind === "done") {
                return;
            }
            if (this.reply.disconnected.aborted) {
                this.log.left();
                return;
            }
            if (endSignal.aborted) {
                return this.fail("the instance stops", HTTP_BAD_GATEWAY);
            }
            if (!step || isOver()) {
                return this.fail("the time for the request is over", HTTP_GATEWAY_TIMEOUT);
            }
            if (step.kind === "stop") {
                return this.fail(step.reason, HTTP_BAD_GATEWAY);
            }
        }
    }

    private async runStep(signal: AbortSignal): Promise<NextStep> {
        const { groups } = this.state;
        const candidates = this.candidates();
        const refused = this.refuseLate() ?? this.refuseQuarantined();
        if (refused) {
            return refused;
        }
        const { engine } = this.admitted.spec ?? {};
        const { limits } = this.context;
        if (limits.pauseMs(engine ? groups.usable(candidates) : candidates) > 0) {
            return this.wait.orStop("all backend servers have asked for a pause", signal);
        }
        if (!engine) {
            return this.attemptOnServer(candidates, signal);
        }
        if (candidates.length === 0 || groups.usable(candidates).length > 0) {
            return this.attemptWithSlot(undefined, signal);
        }
        const probed = groups.takeProbe(candidates);
        this.isGroupDown ||= !probed;
        return probed
            ? this.attemptWithSlot(probed, signal)
            : this.wait.orStop("the group of model servers is down", signal);
    }

    private candidates(): TrackedServer[] {
        return this.context.options.directory.candidates(this.admitted.service);
    }

    /**
     * Sends the request to a model server once the admission queue has granted it a slot: to one of the probed
     * group, if given, else to any whose group is up then.
     */
    private async attemptWithSlot(
        probed: readonly TrackedServer[] | undefined,
        signal: AbortSignal,
    ): Promise<NextStep> {
        const { admissionQueue } = this.state;
        const queuedCall = this.cursor.isHeadSent ? undefined : this.queuedCall();
        if (!queuedCall) {
            admissionQueue.acquireAtOnce();
        }
        else {
            const queuedAtMs = this.nowMs;
            const admission = await admissionQueue.acquire(queuedCall, signal);
            this.progress.queuedMs += Math.round(this.nowMs - queuedAtMs);
            if (admission === "released") {
                return { kind: "again" };
            }
            if (admission === "refused") {
                this.isRefusedByQueue = true;
                return { kind: "stop", reason: "no place at the model servers becomes free in time" };
            }
        }
        const startMs = this.nowMs;
        let isServed = false;
        try {
            const candidates = this.candidates();
            const servers = probed ?? this.state.groups.preferred(candidates);
            if (servers.length === 0 && candidates.length > 0) {
                return { kind: "again" };
            }
            const step = await this.attemptOnServer(servers, signal);
            isServed = step.kind === "done";
            return step;
        }
        finally {
            admissionQueue.release(isServed ? this.nowMs - startMs : undefined, queuedCall);
        }
    }

    private queuedCall(): QueuedCall {
        const { route } = this.admitted;
        const remainingMs = this.callerDeadlineMs - this.call.receivedMs;
        const isRetry = this.state.callerRetries.isRetry(route.name, remainingMs);
        return toQueuedCall(this.call, this.admitted, { isRetry, deadlineMs: this.deadlineMs });
    }

    private async attemptOnServer(
        servers: readonly TrackedServer[],
        signal: AbortSignal,
    ): Promise<NextStep> {
        const refused = this.refuseQuarantined();
        if (refused) {
            return refused;
        }
        const server = this.context.chooseServer(servers, this.tried, this.admitted.spec);
        if (!server) {
            this.limitWaitMs = this.context.limits.retryAfterMs(servers, this.callerDeadlineMs - this.nowMs);
            return { kind: "stop", reason: "no backend server can take the request now" };
        }
        const sentMs = this.nowMs;
        this.isUnderWay = false;
        const outcome = await this.sendAttempt(server, signal);
        const mayBeCrash = outcome.kind === "broken" && !this.isUnderWay && !signal.aborted;
        if (mayBeCrash && await this.guard.suspectsRequest(server, sentMs)) {
            this.progress.sentAttempts++;
            this.progress.mayHaveRun = true;
            this.log.attemptFailed(server, outcome);
            return { kind: "stop", reason: "the backend server ended as it began the answer" };
        }
        return this.handleOutcome(server, outcome);
    }

    /** Refuses the request if the stop of this instance might cut it off, unless a server may have it already. */
    private refuseLate(): NextStep | undefined {
        if (this.progress.mayHaveRun || this.context.stop.mayPassOn(this.deadlineMs)) {
            return undefined;
        }
        this.isTooLate = true;
        return { kind: "stop", reason: "the instance stops before the request must have ended" };
    }

    /** Refuses the request if it or a part of its prompt is in quarantine; the verdict may come while it waits. */
    private refuseQuarantined(): NextStep | undefined {
        const decision = this.guard.check();
        if (decision.kind !== "refused") {
            return undefined;
        }
        this.quarantineMs = decision.retryAfterMs;
        this.context.options.metrics.countQuarantined();
        return { kind: "stop", reason: refusalReason(decision) };
    }

    private recordUnderWay(): void {
        this.isUnderWay = true;
        this.guard.recordUnderWay();
    }

    private async sendAttempt(server: TrackedServer, signal: AbortSignal): Promise<AttemptOutcome> {
        const { clock, events } = this.context.options.runtime;
        const { account, route, service } = this.admitted;
        const wasEjected = server.health.isEjected;
        const tracked = server.health.begin();
        server.startRate.recordStart();
        this.context.limits.recordStart(server);
        this.progress.lastServer = server;
        const mayRetry = this.isRepeatable && route.answer === "whole"
            && this.progress.sentAttempts + 1 < route.maxAttempts;
        const attemptMs = (this.deadlineMs - this.nowMs) * (mayRetry ? FIRST_ATTEMPT_TIME_SHARE : 1);
        using timeout = timeoutSignal(clock, attemptMs, signal);
        const group = this.state.groups.named(server.groupName);
        group.begin();
        const outcome = await runAttempt({
            context: this.context,
            call: this.call,
            reply: this.reply,
            route,
            account,
            server,
            cursor: this.cursor,
            remainingMs: this.callerDeadlineMs - this.nowMs,
            maxIdleMs: this.isRepeatable ? REPEATABLE_MAX_IDLE_MS : NON_REPEATABLE_MAX_IDLE_MS,
            maxIdleConnections: () => this.context.maxIdleConnections(server),
            signal: timeout.signal,
            onFirstByte: () => this.recordFirstByte(group),
            onProgress: () => group.recordProgress(),
            onUnderWay: () => this.recordUnderWay(),
        });
        group.end();
        const isServerError = outcome.kind === "whole" && outcome.head.status >= HTTP_SERVER_ERROR;
        const isFailure = outcome.kind === "broken" || outcome.kind === "notSent" || isServerError;
        tracked.end(isFailure && !signal.aborted ? "failed" : "ended");
        if (server.health.isEjected && !wasEjected) {
            const ejectedForMs = Math.round(server.health.ejectedUntilMs - this.nowMs);
            events.emit(serverEjected, { server: server.entry.id, forMs: ejectedForMs });
        }
        this.context.options.metrics.countAttempt(service, outcome.kind);
        return outcome;
    }

    private handleOutcome(server: TrackedServer, outcome: AttemptOutcome): NextStep {
        this.tried.add(server);
        const hasFailed = outcome.kind !== "streamed" && outcome.kind !== "whole";
        if (hasFailed && !this.reply.disconnected.aborted) {
            this.log.attemptFailed(server, outcome);
        }
        return match<AttemptOutcome, NextStep>(outcome)
            .with({ kind: "streamed" }, () => {
                this.recordAnswered(HTTP_OK);
                this.reply.end();
                return { kind: "done" };
            })
            .with({ kind: "whole" }, ({ body, head }) => this.handleWholeResponse(head, body))
            .with({ kind: "notSent" }, ({ message }) => {
                this.unsentAttempts++;
                return this.unsentAttempts <= MAX_UNSENT_ATTEMPTS
                    ? { kind: "again" }
                    : { kind: "stop", reason: message };
            })
            .with({ kind: "notRun" }, ({ refusingServer, rejection }) => {
                this.progress.sentAttempts++;
                if (rejection) {
                    server.isAddressReused ||= rejection === "otherServer";
                    return this.retryOrStop(REJECTION_REASONS[rejection]);
                }
                // A model server names its address in a refusal only if its group cannot run; a full server
                // names none.
                if (refusingServer !== undefined && this.admitted.spec?.engine) {
                    return this.handleGroupDown(server, refusingServer);
                }
                if (this.context.limits.pauseMs(this.candidates()) > 0) {
                    this.state.admissionQueue.cancelWaiters();
                }
                return this.retryOrStop("the backend server is full");
            })
            .with({ kind: "broken" }, ({ message }) => {
                this.progress.sentAttempts++;
                this.progress.mayHaveRun = true;
                if (this.isRepeatable && this.cursor.isResumable || isFaultSeeded("direct.repeat-once")) {
                    return this.retryOrStop(message);
                }
                return { kind: "stop", reason: message };
            })
            .exhaustive();
    }

    /** Tries a server of another group; without one, the request waits or is refused as the others are. */
    private handleGroupDown(server: TrackedServer, refusingServer: string): NextStep {
        const { admissionQueue, groups } = this.state;
        groups.named(server.groupName).markDown(refusingServer);
        if (groups.usable(this.candidates()).length > 0) {
            return this.retryOrStop("the group of the model server is down");
        }
        admissionQueue.cancelWaiters();
        return { kind: "again" };
    }

    private handleWholeResponse(head: ResponseHead, body: Buffer): NextStep {
        this.progress.sentAttempts++;
        if (head.status >= HTTP_SERVER_ERROR && this.isRepeatable && !this.cursor.isHeadSent) {
            this.lastFailure = { head, body };
            this.progress.mayHaveRun = true;
            const next = this.retryOrStop("the backend server failed");
            if (next.kind === "again") {
                return next;
            }
        }
        if (this.cursor.isHeadSent) {
            return { kind: "stop", reason: `the stream could not be resumed: status ${head.status}` };
        }
        this.sendResponse(head, body);
        return { kind: "done" };
    }

    private sendResponse(head: ResponseHead, body: Buffer): void {
        this.recordAnswered(head.status);
        this.reply.sendWhole(toCallerHead(head), body);
    }

    /**
     * Decides whether a request that was sent may be sent again, within the route's maximum and the retry
     * budget.
     */
    private retryOrStop(reason: string): NextStep {
        const { maxAttempts } = this.admitted.route;
        const mostAttempts = isFaultSeeded("direct.repeat-once") ? maxAttempts + 1 : maxAttempts;
        if (this.progress.sentAttempts >= mostAttempts || this.reply.disconnected.aborted) {
            return { kind: "stop", reason };
        }
        return this.state.retryBudget.tryAcquire() || isFaultSeeded("direct.skip-retry-budget")
            ? { kind: "again" }
            : { kind: "stop", reason: `${reason}; no retries left` };
    }

    private fail(reason: string, unknownOutcomeStatus: number): void {
        if (this.cursor.isHeadSent) {
            this.reply.abort();
            this.log.failed(0, reason);
            return;
        }
        if (this.lastFailure) {
            return this.sendResponse(this.lastFailure.head, this.lastFailure.body);
        }
        if (this.progress.mayHaveRun) {
            sendLocalReply(this.reply, { status: unknownOutcomeStatus, reason });
            this.log.failed(unknownOutcomeStatus, reason);
            return;
        }
        const { limits, options: { runtime: { random } } } = this.context;
        const retryAfterMs = refusalDelayMs(this.refusalCause, {
            ...this.state,
            limits,
            random,
            candidates: this.candidates(),
            remainingMs: Math.max(0, this.callerDeadlineMs - this.nowMs),
        });
        sendLocalReply(this.reply, { status: HTTP_UNAVAILABLE, reason, retryAfterMs });
        this.log.refused(HTTP_UNAVAILABLE, reason, retryAfterMs);
    }

    private get refusalCause(): RefusalCause {
        if (this.isTooLate) {
            return { kind: "stop" };
        }
        if (this.quarantineMs !== undefined) {
            return { kind: "quarantine", forMs: this.quarantineMs };
        }
        if (this.isGroupDown || this.isRefusedByQueue) {
            return { kind: this.isGroupDown ? "groupDown" : "queue" };
        }
        return this.limitWaitMs === undefined
            ? { kind: "servers", wereAsked: this.tried.size > 0 }
            : { kind: "limits", waitMs: this.limitWaitMs };
    }

    private recordAnswered(status: number): void {
        if (status < HTTP_SERVER_ERROR) {
            this.state.retryBudget.recordSuccess();
        }
        this.log.answered(status);
    }

    private recordFirstByte(group: GroupHealth): void {
        const { metrics } = this.context.options;
        const latencyMs = this.nowMs - this.call.receivedMs;
        this.progress.firstByteMs ??= Math.round(latencyMs);
        metrics.observeFirstByte(this.admitted.service, latencyMs);
        if (this.admitted.spec?.engine) {
            group.markUp();
        }
    }
}
