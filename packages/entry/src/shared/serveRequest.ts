/**
 * Serves one request: makes attempts until there is a complete answer or a truthful failure.
 *
 * @packageDocumentation
 */

import { timeoutSignal } from "@magnolialock/kernel";
import { findCallRule, type RuleSet, type ServiceRule } from "@magnolialock/rules";
import type { AnswerEvent, CallerRequest, Failure } from "../types/caller.ts";
import type { EntryContext } from "./entryContext.ts";
import { requestAnswered, requestFailed, requestReceived } from "./entryEvents.ts";
import { InFlightRequest } from "./inFlightRequest.ts";
import { ranStateWithoutAttempt } from "./ranStateWithoutAttempt.ts";
import { abortedFailure } from "./requestFailure.ts";
import { serveAtMostOnce } from "./serveAtMostOnce.ts";
import { serveHedged } from "./serveHedged.ts";
import { serveRepeatable } from "./serveRepeatable.ts";

type ConsumeAnswer = (event: AnswerEvent) => void;

/** Selects the retry strategy: at most once, hedged, or with retries. */
const serveByKind = (
    context: EntryContext,
    request: InFlightRequest,
    signal: AbortSignal,
    consume: ConsumeAnswer,
): Promise<Failure | undefined> => {
    if (!request.call.isRepeatable) {
        return serveAtMostOnce(context, request, signal, consume);
    }
    const isHedged = request.priority === "status" && request.service.kind === "plain";
    return isHedged ? serveHedged(context, request, signal) : serveRepeatable(context, request, signal);
};

/** Checks the rate limit of the client account; returns the failure if the request exceeds it. */
const checkAccountLimit = (
    context: EntryContext,
    rules: RuleSet,
    caller: CallerRequest,
): Failure | undefined => {
    const account = rules.accounts.get(caller.account);
    const decision = account && context.accountLimiter.admit(account);
    if (decision?.kind !== "limited") {
        return undefined;
    }
    return {
        code: "rate-limited",
        ran: ranStateWithoutAttempt(caller.ticket),
        message: `the account ${caller.account} is over its limit of ${account?.ratePerS} calls a second`,
        retryAfterMs: decision.retryAfterMs,
    };
};

const serveWithRules = async (
    context: EntryContext,
    caller: CallerRequest,
    rules: RuleSet,
    service: ServiceRule,
    signal: AbortSignal,
    consume: ConsumeAnswer,
): Promise<Failure | undefined> => {
    const [path = ""] = caller.path.split("?");
    const call = findCallRule(rules, caller.service, caller.method, path);
    const timeoutMs = Math.min(caller.timeoutMs ?? service.deadlineMs, service.deadlineMs);
    let hasEnded = false;
    const request = new InFlightRequest({
        context,
        caller,
        rules,
        service,
        call,
        timeoutMs,
        consume: event => {
            hasEnded ||= event.kind === "end";
            consume(event);
        },
    });
    using deadline = timeoutSignal(context.runtime.clock, timeoutMs, signal);
    const failure = await serveByKind(context, request, deadline.signal, consume);
    if (hasEnded) {
        context.retryBudgets[request.isUrgent ? "urgent" : "ordinary"].recordSuccess();
        const { requestId } = caller;
        context.runtime.events.emit(requestAnswered, { requestId, attempts: request.attempts });
        return undefined;
    }
    return failure ?? abortedFailure(request, context.stopSignal.aborted);
};

/**
 * Serves one request.
 *
 * @param context - the entry
 * @param caller - the request
 * @param signal - aborts when the caller disconnects
 * @param consume - receives the events of the answer; the last one is `end` or `failed`
 */
export const serveRequest = async (
    context: EntryContext,
    caller: CallerRequest,
    signal: AbortSignal,
    consume: ConsumeAnswer,
): Promise<void> => {
    const { events } = context.runtime;
    const { requestId, account } = caller;
    context.pauseDetector.check();
    events.emit(requestReceived, { requestId, account, service: caller.service });
    const rules = context.configuration.current?.rules;
    const service = rules?.services.get(caller.service);
    const failure = !rules || !service
        ? {
            code: "unknown-service" as const,
            ran: ranStateWithoutAttempt(caller.ticket),
            message: `no service is named "${caller.service}"`,
        }
        : checkAccountLimit(context, rules, caller)
            ?? await serveWithRules(context, caller, rules, service, signal, consume);
    if (failure) {
        const { code, ran, message } = failure;
        events.emit(requestFailed, { requestId, code, ran, message });
        consume({ kind: "failed", failure });
    }
};
