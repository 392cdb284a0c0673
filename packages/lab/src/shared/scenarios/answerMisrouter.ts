/**
 * Fault injection that misroutes answers: events of one call also arrive in the answer to another call.
 *
 * @packageDocumentation
 */

import { create, isMessage } from "@bufbuild/protobuf";
import type { RandomSource } from "@magnolialock/kernel";
import { type SessionEvent, SessionEventBatchSchema, SessionEventSchema } from "@magnolialock/protocol";
import type { ResponseInterceptor } from "@magnolialock/test-support";

/** Number of recent events that are kept for each pair of processes. */
const MAX_KEPT_EVENTS = 32;

/**
 * Creates a function that inserts copies of recent events of other calls into session messages in transit.
 *
 * @param random - source of random numbers
 * @param probability - probability that an event of another call is inserted before an event, from 0 to 1
 * @returns the function; it returns messages of other types unchanged
 */
export const createAnswerMisrouter = (random: RandomSource, probability: number): ResponseInterceptor => {
    const recentEvents = new Map<string, SessionEvent[]>();
    const drawMisrouted = (events: readonly SessionEvent[], call: number): SessionEvent[] => {
        const candidates = events.filter(event => event.call !== call && event.event.case === "run");
        const chosen = candidates[random.nextInt(0, Math.max(0, candidates.length - 1))];
        return chosen && random.nextFloat() < probability
            ? [create(SessionEventSchema, { call, event: chosen.event })]
            : [];
    };
    return ({ from, to, message }) => {
        if (!isMessage(message, SessionEventBatchSchema)) {
            return message;
        }
        const pair = `${from.name} ${to.name}`;
        const earlier = recentEvents.get(pair) ?? [];
        const events = message.events.flatMap(event => [...drawMisrouted(earlier, event.call), event]);
        recentEvents.set(pair, [...earlier, ...message.events].slice(-MAX_KEPT_EVENTS));
        return create(SessionEventBatchSchema, { events });
    };
};
