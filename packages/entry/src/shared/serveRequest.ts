/**
 * The task of one caller's request: attempts until there is a whole answer or a truthful failure.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { parseTicket } from "@magnolialock/agent";
import { branded, type IncarnationId, sleep, timeoutSignal } from "@magnolialock/kernel";
import { Priority, RefusalReason, type RunRequest, RunRequestSchema } from "@magnolialock/protocol";
import {
    type CallRule,
    findCall,
    PRIORITY_CLASSES,
    type PriorityClass,
    type RuleSet,
} from "@magnolialock/rules";
import { match } from "ts-pattern";
import type { AnswerEvent, CallerRequest, Failure } from "../types/caller.ts";
import type { AgentPeer } from "./agentPeer.ts";
import { type AttemptOutcome, runAttempt } from "./attempt.ts";
import type { EntryContext } from "./entryContext.ts";
import {
    attemptFailed,
    attemptSent,
    requestAnswered,
    requestFailed,
    requestReceived,
} from "./entryEvents.ts";

const MAX_ATTEMPTS = 4;
const BASE_BACKOFF_MS = 20;

const PRIORITIES: Readonly<Record<PriorityClass, Priority>> = {
    status: Priority.STATUS,
    booking: Priority.BOOKING,
    interactive: Priority.INTERACTIVE,
    batch: Priority.BATCH,
};

/** A caller may ask for a less urgent class than the rules give, never for a more urgent one. */
const lessUrgent = (ruled: PriorityClass, asked: PriorityClass | undefined): PriorityClass =>
    asked !== undefined && PRIORITY_CLASSES.indexOf(asked) > PRIORITY_CLASSES.indexOf(ruled) ? asked : ruled;

/** A request with everything that its attempts share. */
class ServedRequest {
    public readonly deliveredTexts: string[] = [];
    public attempt = 0;
    public ticket: string;
    public hasHead = false;
    private readonly deadlineMs: number;

    public constructor(
        private readonly context: EntryContext,
        public readonly caller: CallerRequest,
        public readonly call: CallRule,
        public readonly rules: RuleSet,
        public readonly timeoutMs: number,
    ) {
        this.ticket = caller.ticket ?? "";
        this.deadlineMs = context.runtime.clock.nowMs() + timeoutMs;
    }

    public get remainingMs(): number {
        return Math.max(0, this.deadlineMs - this.context.runtime.clock.nowMs());
    }

    public toRunRequest(): RunRequest {
        const { caller, call } = this;
        return create(RunRequestSchema, {
            requestId: caller.requestId,
            attempt: this.attempt,
            entry: this.context.instance,
            clientAccount: caller.account,
            accountWeight: this.rules.accounts.get(caller.account)?.weight ?? 1,
            service: caller.service,
            priority: PRIORITIES[lessUrgent(call.priority, caller.priority)],
            remainingMs: Math.floor(this.remainingMs),
            isRepeatable: call.isRepeatable,
            ticket: this.ticket,
            revision: BigInt(this.context.configuration.current?.revision ?? 0),
            method: caller.method,
            path: caller.path,
            headers: caller.headers.map(([name, value]) => ({ name, value })),
            body: caller.body,
            resumeFromToken: this.deliveredTexts.length,
            resumedText: this.deliveredTexts.join(""),
        });
    }

    /** Chooses the agent: the ticket's own for a request that may not be repeated, else by policy. */
    public chooseAgent(): AgentPeer | undefined {
        const { context, caller } = this;
        const ticket = this.ticket === "" ? undefined : parseTicket(this.ticket);
        if (ticket) {
            return context.agents.find(ticket.server);
        }
        const candidates = context.agents.candidates(caller.service);
        if (candidates.length === 0) {
            return undefined;
        }
        const { random } = context.runtime;
        return context.policy.choose(candidates, { dataCentre: context.dataCentre, random, prefixKey: "" });
    }

    /** Mints the ticket for the chosen agent's present life. */
    public mintTicket(peer: AgentPeer): boolean {
        if (this.call.isRepeatable || this.ticket !== "") {
            return true;
        }
        const incarnation = peer.state?.incarnation;
        if (incarnation === undefined) {
            return false;
        }
        this.ticket = this.context.tickets.mint(peer.rule.name, branded<IncarnationId>(incarnation));
        return true;
    }

    /** Drops an own ticket after a true refusal, so that another agent may run the request. */
    public dropOwnTicket(): void {
        if (this.caller.ticket === undefined) {
            this.ticket = "";
        }
    }

    public deliver(event: AnswerEvent): AnswerEvent | undefined {
        if (event.kind === "tokens") {
            this.deliveredTexts.push(...event.texts);
        }
        if (event.kind === "head") {
            const isFirst = !this.hasHead;
            this.hasHead = true;
            return isFirst ? event : undefined;
        }
        return event;
    }
}

const failureOf = (request: ServedRequest, outcome: AttemptOutcome | undefined): Failure =>
    match(outcome)
        .with({ kind: "refused" }, ({ refused }): Failure => ({
            code: refused.reason === RefusalReason.DEADLINE ? "deadline" : "overloaded",
            ran: "not run",
            message: refused.message,
            retryAfterMs: refused.retryAfterMs || 1_000,
        }))
        .with(
            { kind: "unknown" },
            ({ message }): Failure => ({ code: "broken", ran: "outcome unknown", message }),
        )
        .with({ kind: "unreachable" }, ({ message }): Failure => ({
            code: "broken",
            ran: "outcome unknown",
            message,
        }))
        .otherwise((): Failure => ({
            code: "unavailable",
            ran: "not run",
            message: `no backend server of ${request.caller.service} can take the request now`,
            retryAfterMs: 1_000,
        }));

/** Whether another attempt is safe: refusals are true, everything else needs a repeatable request. */
const mayRetry = (request: ServedRequest, outcome: AttemptOutcome): boolean => {
    if (request.attempt >= MAX_ATTEMPTS || request.remainingMs <= 0) {
        return false;
    }
    const canResume = !request.hasHead
        || request.rules.services.get(request.caller.service)?.kind === "model";
    return match(outcome)
        .with({ kind: "answered" }, () => false)
        .with({ kind: "refused" }, () => true)
        .with({ kind: "unknown" }, { kind: "unreachable" }, () => request.call.isRepeatable && canResume)
        .exhaustive();
};

/** Runs attempts until one answers or none may follow. */
const runAttempts = async (
    context: EntryContext,
    request: ServedRequest,
    signal: AbortSignal,
    consume: (event: AnswerEvent) => void,
): Promise<Failure | undefined> => {
    const { runtime } = context;
    const { requestId } = request.caller;
    let outcome: AttemptOutcome | undefined;
    while (!signal.aborted) {
        const peer = request.chooseAgent();
        if (!peer || !request.mintTicket(peer)) {
            return failureOf(request, outcome?.kind === "refused" ? outcome : undefined);
        }
        request.attempt++;
        if (!request.call.isRepeatable) {
            consume({ kind: "ticket", ticket: request.ticket });
        }
        runtime.events.emit(attemptSent, { requestId, attempt: request.attempt, server: peer.rule.name });
        outcome = await runAttempt(peer, request.toRunRequest(), signal, event => {
            const delivered = request.deliver(event);
            if (delivered) {
                consume(delivered);
            }
        });
        if (outcome.kind === "answered") {
            return undefined;
        }
        runtime.events.emit(attemptFailed, { requestId, attempt: request.attempt, outcome: outcome.kind });
        if (!mayRetry(request, outcome)) {
            return failureOf(request, outcome);
        }
        request.dropOwnTicket();
        const backoffMs = BASE_BACKOFF_MS * 2 ** request.attempt * runtime.random.nextFloat();
        await sleep(runtime.clock, Math.min(backoffMs, request.remainingMs), signal).catch(() => {});
    }
    return { ...failureOf(request, outcome), code: "deadline", message: "the deadline passed" };
};

/**
 * Serves one request.
 *
 * @param context - the entry
 * @param caller - the request
 * @param signal - aborts when the caller is gone
 * @param consume - gets the answer's pieces; the last is `end` or `failed`
 */
export const serveRequest = async (
    context: EntryContext,
    caller: CallerRequest,
    signal: AbortSignal,
    consume: (event: AnswerEvent) => void,
): Promise<void> => {
    const { events, clock } = context.runtime;
    const { requestId, account } = caller;
    events.emit(requestReceived, { requestId, account, service: caller.service });
    const fail = (failure: Failure): void => {
        events.emit(requestFailed, {
            requestId,
            code: failure.code,
            ran: failure.ran,
            message: failure.message,
        });
        consume({ kind: "failed", failure });
    };
    const rules = context.configuration.current?.rules;
    const service = rules?.services.get(caller.service);
    if (!rules || !service) {
        fail({ code: "unknown-service", ran: "not run", message: `no service is named "${caller.service}"` });
        return;
    }
    const [path = ""] = caller.path.split("?");
    const call = findCall(rules, caller.service, caller.method, path);
    const timeoutMs = Math.min(caller.timeoutMs ?? service.deadlineMs, service.deadlineMs);
    const request = new ServedRequest(context, caller, call, rules, timeoutMs);
    using deadline = timeoutSignal(clock, timeoutMs, signal);
    const failure = await runAttempts(context, request, deadline.signal, consume);
    if (failure) {
        fail(failure);
        return;
    }
    events.emit(requestAnswered, { requestId, attempts: request.attempt });
};
