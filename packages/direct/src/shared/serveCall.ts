/**
 * Serves one request: determines its route and account, checks the limits, and runs it or refuses it.
 *
 * @packageDocumentation
 */

import type { AdmittedCall } from "../types/admittedCall.ts";
import type { CallerReply, FlatHeaders, IncomingCall, Refusal, RequestHead } from "../types/call.ts";
import type { AccountSpec, RouteRule } from "../types/publishedState.ts";
import type { ActiveConfiguration } from "./activeConfiguration.ts";
import { CallTask } from "./callTask.ts";
import { describeConfigurationEvidence } from "./configurationEvidence.ts";
import type { DirectContext } from "./directContext.ts";
import { callRefused } from "./directEvents.ts";
import { sendLocalReply } from "./localReply.ts";
import { drawService } from "./routeTable.ts";

type Admission =
    | { readonly kind: "admitted"; readonly call: AdmittedCall; }
    | { readonly kind: "refused"; } & Refusal;

const HTTP_UNAUTHORIZED = 401;
const HTTP_NOT_FOUND = 404;
const HTTP_TOO_LARGE = 413;
const HTTP_HEADERS_TOO_LARGE = 431;
const HTTP_UNAVAILABLE = 503;
/**
 * Retry delay while no configuration is known, in milliseconds: an instance that has just started knows it by
 * then. Requests whose route has no service get the same delay.
 */
const STARTUP_RETRY_AFTER_MS = 500;

/** Refusal of a request whose body is larger than the limit. */
export const BODY_TOO_LARGE: Refusal = {
    status: HTTP_TOO_LARGE,
    reason: "the body is larger than the limit",
};

/** What the head of a request alone decides. */
type HeadVerdict =
    | { readonly kind: "known"; readonly route: RouteRule; readonly account: AccountSpec | undefined; }
    | { readonly kind: "refused"; } & Refusal;

const judgeHead = (
    { configuration, routes }: ActiveConfiguration,
    context: DirectContext,
    head: RequestHead,
): HeadVerdict => {
    const { host } = head.headers;
    const route = routes.find(typeof host === "string" ? host : "", head.path);
    if (!route) {
        return { kind: "refused", status: HTTP_NOT_FOUND, reason: "no route matches host and path" };
    }
    const key = head.headers[context.options.headers.apiKey];
    const account = typeof key === "string" ? configuration.accountsByKey?.get(key) : undefined;
    if (configuration.accountsByKey && !account && !route.isPublic) {
        return { kind: "refused", status: HTTP_UNAUTHORIZED, reason: "the API key is missing or unknown" };
    }
    if (head.headerBytes > configuration.limits.headerBytes) {
        return {
            kind: "refused",
            status: HTTP_HEADERS_TOO_LARGE,
            reason: "the headers are larger than the limit",
        };
    }
    return { kind: "known", route, account };
};

const admit = (active: ActiveConfiguration, context: DirectContext, call: IncomingCall): Admission => {
    const { configuration, services } = active;
    const verdict = judgeHead(active, context, { ...call, headerBytes: headerBytesOf(call.rawHeaders) });
    if (verdict.kind === "refused") {
        return verdict;
    }
    if (call.body.length > configuration.limits.bodyBytes) {
        return { kind: "refused", ...BODY_TOO_LARGE };
    }
    const { account, route } = verdict;
    const service = drawService(route, context.options.runtime.random);
    if (service === undefined) {
        return { kind: "refused", status: HTTP_UNAVAILABLE, reason: "the route has no service" };
    }
    const { version } = configuration;
    return {
        kind: "admitted",
        call: { route, account, service, spec: services.get(service), version },
    };
};

const activeConfiguration = ({ options }: DirectContext): ActiveConfiguration | undefined =>
    options.hasJoined() ? options.store.configuration : undefined;

/**
 * Size of the names and values of all headers of a request.
 *
 * @param rawHeaders - names and values
 * @returns the size, in bytes
 */
export const headerBytesOf = (rawHeaders: FlatHeaders): number =>
    rawHeaders.reduce((sum, text) => sum + text.length, 0);

/**
 * Tells whether the head of a request decides that it is refused, so that its body need not be kept.
 *
 * @param context - state of the direct entry
 * @param head - head of the request
 * @returns the refusal; undefined if the request may be served, or no configuration is known yet
 */
export const refuseByHead = (context: DirectContext, head: RequestHead): Refusal | undefined => {
    const active = activeConfiguration(context);
    const verdict = active && judgeHead(active, context, head);
    return verdict?.kind === "refused" ? verdict : undefined;
};

/**
 * Refuses one request: answers, counts and logs it.
 *
 * @param context - state of the direct entry
 * @param call - the request; its body may be missing
 * @param reply - reply to the caller
 * @param refusal - status and reason
 */
export const refuseCall = (
    context: DirectContext,
    call: IncomingCall,
    reply: CallerReply,
    { reason, status }: Refusal,
): void => {
    const { headers, heardSources, metrics, runtime, store } = context.options;
    sendLocalReply(reply, {
        status,
        reason,
        retryAfterMs: status === HTTP_UNAVAILABLE ? STARTUP_RETRY_AFTER_MS : undefined,
    });
    metrics.countCall("refused", "", status, runtime.clock.nowMs() - call.receivedMs);
    runtime.events.emit(callRefused, {
        requestId: call.headers[headers.requestId],
        status,
        reason,
        ...describeConfigurationEvidence(store, heardSources()),
    });
};

/**
 * Serves one request. Never throws.
 *
 * @param context - state of the direct entry
 * @param call - the request
 * @param reply - reply to the caller
 */
export const serveCall = async (
    context: DirectContext,
    call: IncomingCall,
    reply: CallerReply,
): Promise<void> => {
    const active = activeConfiguration(context);
    const admission: Admission = active
        ? admit(active, context, call)
        : { kind: "refused", status: HTTP_UNAVAILABLE, reason: "no configuration is known yet" };
    if (admission.kind === "refused") {
        refuseCall(context, call, reply, admission);
        return;
    }
    await new CallTask(context, call, reply, admission.call).run();
};
