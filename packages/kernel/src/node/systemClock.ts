/**
 * Clock of the operating system.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "../shared/clock.ts";

/**
 * Creates a clock over the time and the timers of the process.
 *
 * @returns the clock
 */
export const createSystemClock = (): Clock => ({
    nowMs: () => performance.now(),
    wallMs: () => Date.now(),
    setTimer: (delayMs, callback): Timer => {
        const handle = setTimeout(callback, Math.max(0, delayMs));
        const cancel = (): void => clearTimeout(handle);
        return { cancel, [Symbol.dispose]: cancel };
    },
});
