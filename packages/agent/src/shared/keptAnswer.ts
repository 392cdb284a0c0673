/**
 * Answers that are kept for callers who ask again.
 *
 * @packageDocumentation
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { RecallResponseSchema, type RunEvent, type RunRequest } from "@magnolialock/protocol";

/** An answer in its encoded form, which takes a fraction of the memory of its events. */
export type KeptAnswer = Uint8Array;

/**
 * Encodes an answer.
 *
 * @param events - its events
 * @returns the encoded answer
 */
export const keepAnswer = (events: readonly RunEvent[]): KeptAnswer =>
    toBinary(RecallResponseSchema, create(RecallResponseSchema, { answer: [...events] }));

/**
 * Decodes an answer.
 *
 * @param answer - the encoded answer
 * @returns its events
 */
export const restoreAnswer = (answer: KeptAnswer): RunEvent[] =>
    fromBinary(RecallResponseSchema, answer).answer;

/**
 * Addresses an answer to the attempt that asks again.
 *
 * @param events - the events as they were first sent
 * @param request - the attempt
 * @returns the events with the identifiers of the attempt
 */
export const readdressAnswer = (events: readonly RunEvent[], request: RunRequest): RunEvent[] =>
    events.map(event => ({ ...event, requestId: request.requestId, attempt: request.attempt }));
