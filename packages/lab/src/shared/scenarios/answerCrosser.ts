/**
 * Lets answers arrive crossed: pieces of an earlier call also arrive in a later one.
 *
 * @packageDocumentation
 */

import { create, isMessage } from "@bufbuild/protobuf";
import type { RandomSource } from "@magnolialock/kernel";
import { type SessionEvent, SessionEventBatchSchema, SessionEventSchema } from "@magnolialock/protocol";
import type { AnswerTamper } from "@magnolialock/test-support";

/** Pieces of earlier calls that are kept for each pair of processes. */
const REMEMBERED_EVENTS = 32;

/**
 * Creates what changes answers on their way.
 *
 * @param random - source of random numbers
 * @param probability - probability that a foreign piece comes before a piece
 * @returns the change; answers of other methods stay as they are
 */
export const createAnswerCrosser = (random: RandomSource, probability: number): AnswerTamper => {
    const remembered = new Map<string, SessionEvent[]>();
    const drawForeign = (events: readonly SessionEvent[], call: number): SessionEvent[] => {
        const foreign = events.filter(event => event.call !== call && event.event.case === "run");
        const chosen = foreign[random.nextInt(0, Math.max(0, foreign.length - 1))];
        return chosen && random.nextFloat() < probability
            ? [create(SessionEventSchema, { call, event: chosen.event })]
            : [];
    };
    return ({ from, to, message }) => {
        if (!isMessage(message, SessionEventBatchSchema)) {
            return message;
        }
        const pair = `${from.name} ${to.name}`;
        const earlier = remembered.get(pair) ?? [];
        const events = message.events.flatMap(event => [...drawForeign(earlier, event.call), event]);
        remembered.set(pair, [...earlier, ...message.events].slice(-REMEMBERED_EVENTS));
        return create(SessionEventBatchSchema, { events });
    };
};
