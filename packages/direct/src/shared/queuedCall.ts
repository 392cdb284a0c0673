/**
 * Time limits of a request in the admission queue.
 *
 * @packageDocumentation
 */

import type { AdmittedCall } from "../types/admittedCall.ts";
import type { IncomingCall } from "../types/call.ts";
import type { QueuedCall } from "./admissionQueue.ts";
import { streamStallLimitMs } from "./streamStallLimit.ts";

/**
 * Share of the target time to the first event that a request may spend in the admission queue; the rest is
 * for the server's first passes.
 */
const MAX_QUEUE_TIME_SHARE = 0.5;

/**
 * Derives the time limits of a request.
 *
 * @param call - the request
 * @param admitted - its route and account
 * @param state - whether it is the retry of a refused request, and its deadline, in milliseconds
 */
export const toQueuedCall = (
    { receivedMs }: IncomingCall,
    { account, route }: AdmittedCall,
    { deadlineMs, isRetry }: { readonly deadlineMs: number; readonly isRetry: boolean; },
): QueuedCall => ({
    receivedMs,
    // The target time to the first event counts from the caller's first try, so a retry has missed it already.
    targetStartMs: receivedMs + (isRetry ? 0 : route.targetLatencyMs * MAX_QUEUE_TIME_SHARE),
    latestStartMs: receivedMs + streamStallLimitMs(route) - route.targetLatencyMs,
    deadlineMs,
    priority: account?.priority ?? route.priority,
    account: account?.account,
});
