/**
 * Encoding of the answers that the journal stores for retries and recalls.
 *
 * @packageDocumentation
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { RecallResponseSchema, type RunEvent, type RunRequest } from "@magnolialock/protocol";

/** An encoded answer, which takes a fraction of the memory of its decoded events. */
export type StoredAnswer = Uint8Array;

/**
 * Encodes an answer.
 *
 * @param events - events of the answer
 * @returns the encoded answer
 */
export const encodeAnswer = (events: readonly RunEvent[]): StoredAnswer =>
    toBinary(RecallResponseSchema, create(RecallResponseSchema, { answer: [...events] }));

/**
 * Decodes an answer.
 *
 * @param answer - the encoded answer
 * @returns events of the answer
 */
export const decodeAnswer = (answer: StoredAnswer): RunEvent[] =>
    fromBinary(RecallResponseSchema, answer).answer;

/**
 * Replaces the request and attempt identifiers of an answer by those of a retry.
 *
 * @param events - the events as they were first sent
 * @param request - the retry
 * @returns the events with the identifiers of the retry
 */
export const replaceAnswerIds = (events: readonly RunEvent[], request: RunRequest): RunEvent[] =>
    events.map(event => ({ ...event, requestId: request.requestId, attempt: request.attempt }));
