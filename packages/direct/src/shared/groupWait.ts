/**
 * Decides how long a request waits for a group of model servers that is down.
 *
 * The load pattern: a group lacks a rank for some seconds and refuses everything; all callers are told to return, honour
 * a third of their remaining time, and return once. Those who return while the group still re-forms, and are refused
 * again, have no further try. So a caller who has returned waits, as long as its patience lasts and the group can be
 * expected back. A new request waits only once a rank has come back, which is shortly before the group serves; before
 * that, its caller is told to return.
 *
 * @packageDocumentation
 */

/** What is known of a request and the group that it needs. */
export interface GroupWaitInputs {
    /** Whether its caller has returned after a refusal. */
    readonly isReturning: boolean;
    /** Time since the group is down, in milliseconds. */
    readonly downForMs: number;
    /** Time since a server of the service was published anew, in milliseconds; infinite if none was. */
    readonly sinceServerAddedMs: number;
    /** Time for which its caller still waits for the first event, in milliseconds. */
    readonly patienceMs: number;
}

/** Time that a group takes to serve once its last rank has published itself, in milliseconds. */
const REFORM_MS = 1_200;
/**
 * Time for which a group is down at least, from its first refusal, in milliseconds: a rank that ended has to start again,
 * and then the group has to form.
 */
const SHORTEST_OUTAGE_MS = 2_000;
/**
 * Time after which a group that lacks a rank is not expected back soon, in milliseconds: a process that starts again is
 * back sooner, a link that is cut takes any time.
 */
const LONG_OUTAGE_MS = 5_500;

/**
 * Computes how long a request should wait for its group.
 *
 * @param inputs - what is known of the request and the group
 * @returns the time in milliseconds; 0 if the request should be refused at once
 */
export const groupWaitMs = (inputs: GroupWaitInputs): number => {
    const { downForMs, isReturning, patienceMs, sinceServerAddedMs } = inputs;
    const hasRankReturned = sinceServerAddedMs < Math.min(REFORM_MS, downForMs);
    const reformingMs = hasRankReturned ? REFORM_MS - sinceServerAddedMs : 0;
    const isHopeful = isReturning && downForMs + patienceMs >= SHORTEST_OUTAGE_MS;
    const returningMs = isHopeful ? Math.max(0, LONG_OUTAGE_MS - downForMs) : 0;
    return Math.max(0, Math.min(patienceMs, Math.max(reformingMs, returningMs)));
};
