/**
 * Notification of the state report tasks about changes of the agent's state.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";

/** Wakes tasks that wait for a change of the agent's state. */
export class StateChangeNotifier {
    private readonly waiters = new Set<() => void>();
    private readonly clock: Clock;

    /** @param clock - source of time */
    public constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Wakes all waiting tasks. */
    public notifyAll(): void {
        for (const wake of [...this.waiters]) {
            wake();
        }
    }

    /**
     * Waits for the next change, the timeout or an abort, whichever comes first.
     *
     * @param timeoutMs - longest wait, in milliseconds
     * @param signal - ends the wait early
     * @returns a promise that resolves in all three cases and never rejects
     */
    public waitForChange(timeoutMs: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                timer.cancel();
                this.waiters.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            const timer = this.clock.setTimer(timeoutMs, wake);
            this.waiters.add(wake);
            signal.addEventListener("abort", wake, { once: true });
        });
    }
}
