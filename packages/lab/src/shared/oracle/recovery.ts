/**
 * Time that the service takes to return to normal after an overload has ended.
 *
 * @packageDocumentation
 */

import { type CallRecord, isAnsweredInTime } from "../load/callRecord.ts";

const BUCKET_MS = 500;
/** Share of the requests sent in a bucket that must be served normally. */
const MIN_GOOD_RATIO = 0.95;
/** Longest time to the first token with which a request counts as served normally, in milliseconds. */
const MAX_FIRST_PIECE_MS = 2_000;

const isServedNormally = (record: CallRecord): boolean =>
    isAnsweredInTime(record) && (record.firstPieceMs ?? Infinity) - record.sentMs <= MAX_FIRST_PIECE_MS;

/**
 * Measures from the end of the overload to the end of the last half-second bucket in which fewer than 95 % of
 * the requests sent were served normally.
 *
 * @param records - requests as their callers saw them
 * @param fromMs - end of the overload, in milliseconds
 * @param toMs - end of the load, in milliseconds
 * @returns recovery time in milliseconds; 0 when no bucket was below 95 %
 */
export const recoveryMs = (records: readonly CallRecord[], fromMs: number, toMs: number): number => {
    let recoveredAfterMs = 0;
    for (let startMs = fromMs; startMs < toMs; startMs += BUCKET_MS) {
        const sent = records.filter(({ sentMs }) => sentMs >= startMs && sentMs < startMs + BUCKET_MS);
        const good = sent.filter(isServedNormally);
        if (good.length < sent.length * MIN_GOOD_RATIO) {
            recoveredAfterMs = startMs + BUCKET_MS - fromMs;
        }
    }
    return recoveredAfterMs;
};
