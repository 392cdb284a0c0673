/**
 * Clock of the operating system.
 *
 * @packageDocumentation
 */

import type { Clock, Timer } from "../shared/clock.ts";

/**
 * Creates the clock of a real process, over the time and the timers of Node.js.
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
