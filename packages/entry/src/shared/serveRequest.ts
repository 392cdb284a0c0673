/**
 * The task of one caller's request: attempts until there is a whole answer or a truthful failure.
 *
 * @packageDocumentation
 */

import { timeoutSignal } from "@magnolialock/kernel";
import { findCall, type RuleSet, type ServiceRule } from "@magnolialock/rules";
import type { AnswerEvent, CallerRequest, Failure } from "../types/caller.ts";
import type { EntryContext } from "./entryContext.ts";
import { requestAnswered, requestFailed, requestReceived } from "./entryEvents.ts";
import { abandonedFailure } from "./requestFailure.ts";
import { ServedRequest } from "./servedRequest.ts";
import { serveHedged } from "./serveHedged.ts";
import { serveOnce } from "./serveOnce.ts";
import { serveRepeatable } from "./serveRepeatable.ts";
import { unservedRan } from "./unservedRan.ts";

type Consume = (event: AnswerEvent) => void;

/** Serves by the kind of call. */
const serveByKind = (
    context: EntryContext,
    request: ServedRequest,
    signal: AbortSignal,
    consume: Consume,
): Promise<Failure | undefined> => {
    if (!request.call.isRepeatable) {
        return serveOnce(context, request, signal, consume);
    }
    const isHedged = request.priority === "status" && request.service.kind === "plain";
    return isHedged ? serveHedged(context, request, signal) : serveRepeatable(context, request, signal);
};

/** Checks the account's limit. */
const limitFailure = (context: EntryContext, rules: RuleSet, caller: CallerRequest): Failure | undefined => {
    const account = rules.accounts.get(caller.account);
    const decision = account && context.accountLimiter.admit(account);
    if (decision?.kind !== "limited") {
        return undefined;
    }
    return {
        code: "rate-limited",
        ran: unservedRan(caller.ticket),
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
    consume: Consume,
): Promise<Failure | undefined> => {
    const [path = ""] = caller.path.split("?");
    const call = findCall(rules, caller.service, caller.method, path);
    const timeoutMs = Math.min(caller.timeoutMs ?? service.deadlineMs, service.deadlineMs);
    let isEnded = false;
    const request = new ServedRequest({
        context,
        caller,
        rules,
        service,
        call,
        timeoutMs,
        consume: event => {
            isEnded ||= event.kind === "end";
            consume(event);
        },
    });
    using deadline = timeoutSignal(context.runtime.clock, timeoutMs, signal);
    const failure = await serveByKind(context, request, deadline.signal, consume);
    if (isEnded) {
        context.retryBudgets[request.isUrgent ? "urgent" : "ordinary"].noteSuccess();
        const { requestId } = caller;
        context.runtime.events.emit(requestAnswered, { requestId, attempts: request.attempts });
        return undefined;
    }
    return failure ?? abandonedFailure(request, context.stopSignal.aborted);
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
    consume: Consume,
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
            ran: unservedRan(caller.ticket),
            message: `no service is named "${caller.service}"`,
        }
        : limitFailure(context, rules, caller)
            ?? await serveWithRules(context, caller, rules, service, signal, consume);
    if (failure) {
        const { code, ran, message } = failure;
        events.emit(requestFailed, { requestId, code, ran, message });
        consume({ kind: "failed", failure });
    }
};
