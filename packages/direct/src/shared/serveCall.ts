/**
 * Serves one request: determines its route and account, checks the limits, and runs it or refuses it.
 *
 * @packageDocumentation
 */

import type { AdmittedCall } from "../types/admittedCall.ts";
import type { CallerReply, IncomingCall } from "../types/call.ts";
import type { ActiveConfiguration } from "./activeConfiguration.ts";
import { CallTask } from "./callTask.ts";
import { describeConfigurationEvidence } from "./configurationEvidence.ts";
import type { DirectContext } from "./directContext.ts";
import { callRefused } from "./directEvents.ts";
import { sendLocalReply } from "./localReply.ts";
import { drawService } from "./routeTable.ts";

type Admission =
    | { readonly kind: "admitted"; readonly call: AdmittedCall; }
    | { readonly kind: "refused"; readonly status: number; readonly reason: string; };

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

const admit = (
    { configuration, routes, services }: ActiveConfiguration,
    context: DirectContext,
    call: IncomingCall,
): Admission => {
    const route = routes.find(call.headers["host"] ?? "", call.path);
    if (!route) {
        return { kind: "refused", status: HTTP_NOT_FOUND, reason: "no route matches host and path" };
    }
    const key = call.headers[context.options.headers.apiKey];
    const account = key === undefined ? undefined : configuration.accountsByKey?.get(key);
    if (configuration.accountsByKey && !account && !route.isPublic) {
        return { kind: "refused", status: HTTP_UNAUTHORIZED, reason: "the API key is missing or unknown" };
    }
    if (call.body.length > configuration.limits.bodyBytes) {
        return { kind: "refused", status: HTTP_TOO_LARGE, reason: "the body is larger than the limit" };
    }
    if (call.rawHeaders.reduce((sum, text) => sum + text.length, 0) > configuration.limits.headerBytes) {
        return {
            kind: "refused",
            status: HTTP_HEADERS_TOO_LARGE,
            reason: "the headers are larger than the limit",
        };
    }
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
    const { hasJoined, headers, heardSources, metrics, runtime, store } = context.options;
    const activeConfiguration = hasJoined() ? store.configuration : undefined;
    const admission: Admission = activeConfiguration
        ? admit(activeConfiguration, context, call)
        : { kind: "refused", status: HTTP_UNAVAILABLE, reason: "no configuration is known yet" };
    if (admission.kind === "admitted") {
        await new CallTask(context, call, reply, admission.call).run();
        return;
    }
    const { reason, status } = admission;
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
