/**
 * An ordinary request as a caller sends it that may repeat it.
 *
 * @packageDocumentation
 */

import { createSystemClock, sleep } from "@magnolialock/kernel";

/** Time for the request with all its repeats, and the pause between two, in milliseconds. */
export const ORDINARY_MS = 6_000;
const PAUSE_MS = 50;
const HTTP_OK = 200;
const clock = createSystemClock();

/**
 * Sends a request until its answer is 200 or its time has passed.
 *
 * @param ask - sends the request once, and reads its answer; resolves with the status
 * @returns the last status, or why the last try failed
 */
export const askUntilServed = async (
    ask: (signal: AbortSignal) => Promise<number>,
): Promise<number | string> => {
    const endMs = clock.nowMs() + ORDINARY_MS;
    let result: number | string = "not asked";
    while (result !== HTTP_OK && clock.nowMs() < endMs) {
        try {
            result = await ask(AbortSignal.timeout(Math.ceil(Math.max(1, endMs - clock.nowMs()))));
        }
        catch (error) {
            result = String(error);
        }
        await sleep(clock, result === HTTP_OK ? 0 : PAUSE_MS);
    }
    return result;
};
