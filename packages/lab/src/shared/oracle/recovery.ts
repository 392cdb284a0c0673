/**
 * How long service takes to be as before, once an overload has ended.
 *
 * @packageDocumentation
 */

import { type CallRecord, isGood } from "../load/callRecord.ts";

const BUCKET_MS = 500;
/** Share of the requests of a bucket that must be answered in time. */
const MIN_GOOD_RATIO = 0.95;
/** Longest wait for the first token that counts as served normally, in milliseconds. */
const MAX_FIRST_PIECE_MS = 2_000;

const isServedNormally = (record: CallRecord): boolean =>
    isGood(record) && (record.firstPieceMs ?? Infinity) - record.sentMs <= MAX_FIRST_PIECE_MS;

/**
 * Finds the end of the last half second in which fewer than 95 % of the new requests were served normally.
 *
 * @param records - what the callers saw
 * @param fromMs - end of the overload, in milliseconds
 * @param toMs - end of the load, in milliseconds
 * @returns time from the end of the overload, in milliseconds; 0 when no half second was bad
 */
export const recoveryMs = (records: readonly CallRecord[], fromMs: number, toMs: number): number => {
    let lastBadMs = 0;
    for (let startMs = fromMs; startMs < toMs; startMs += BUCKET_MS) {
        const sent = records.filter(({ sentMs }) => sentMs >= startMs && sentMs < startMs + BUCKET_MS);
        const good = sent.filter(isServedNormally);
        if (good.length < sent.length * MIN_GOOD_RATIO) {
            lastBadMs = startMs + BUCKET_MS - fromMs;
        }
    }
    return lastBadMs;
};
