/**
 * Decides when the caller of a refused request should return.
 *
 * The load pattern: many callers are refused at the same time, by a group of model servers that lacks a rank, by an
 * admission queue in a burst, or by servers that are full. Those who return too early are refused again, and those
 * who return all at once are the next burst; a caller honours only a third of its remaining time.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import type { AdmissionQueue } from "./admissionQueue.ts";
import { serverRetryAfterMs } from "./retryDelay.ts";
import type { ServerLimits } from "./serverLimits.ts";
import type { ServiceGroups } from "./serviceGroups.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Why a request is refused. */
export type RefusalCause =
    /** It, or a part of its prompt, is in quarantine for a while. */
    | { readonly kind: "quarantine"; readonly forMs: number; }
    /** All groups of model servers are down. */
    | { readonly kind: "groupDown"; }
    /** No slot becomes free in time. */
    | { readonly kind: "queue"; }
    /** Servers name limits or pauses; the time until one of them may get the request. */
    | { readonly kind: "limits"; readonly waitMs: number; }
    /** This instance stops; another one may take it at once. */
    | { readonly kind: "stop"; }
    /** No server has taken it, or none could be asked. */
    | { readonly kind: "servers"; readonly wereAsked: boolean; };

/** State that decides when a refused caller should return. */
export interface RefusalState {
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Groups of the service's model servers. */
    readonly groups: ServiceGroups;
    /** Requests that wait for a slot at the service. */
    readonly admissionQueue: AdmissionQueue;
    /** Limits and pauses that servers name. */
    readonly limits: ServerLimits;
    /** Servers that might take the request. */
    readonly candidates: readonly TrackedServer[];
    /** Remaining time of the caller, in milliseconds. */
    readonly remainingMs: number;
}

/**
 * Computes the delay: never shorter than the time for which no server takes a request, as far as that is known.
 *
 * @param cause - why the request is refused
 * @param state - what is known of the service and the caller
 * @returns the delay, in milliseconds; at most a third of the remaining time, but for a request in quarantine
 */
export const refusalDelayMs = (cause: RefusalCause, state: RefusalState): number => {
    const { admissionQueue, candidates, groups, limits, random, remainingMs } = state;
    const usualMs = match(cause)
        .with({ kind: "quarantine" }, ({ forMs }) => forMs)
        .with({ kind: "groupDown" }, () => groups.retryAfterMs(remainingMs))
        .with({ kind: "queue" }, () => admissionQueue.retryAfterMs(remainingMs))
        .with({ kind: "stop" }, () => 0)
        .with({ kind: "limits" }, ({ waitMs }) => waitMs)
        .with({ kind: "servers" }, ({ wereAsked }) => serverRetryAfterMs(random, wereAsked, remainingMs))
        .exhaustive();
    const pauseMs = limits.pauseMs(candidates) > 0 ? limits.retryAfterMs(candidates, remainingMs) ?? 0 : 0;
    return Math.max(pauseMs, usualMs);
};
