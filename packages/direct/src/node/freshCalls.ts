/**
 * Calls whose results are shared by all who ask at the same time.
 *
 * @packageDocumentation
 */

import { setImmediate as nextTurn } from "node:timers/promises";

/**
 * Runs at most one call for each key at a time. A call that is under way serves only those who ask in the turn of the event loop in
 * which it began; later ones share the next call, since the result of this one may be older than what they have observed.
 */
export class FreshCalls<Key, Result> {
    private readonly running = new Map<Key, Promise<Result>>();
    private readonly waiting = new Map<Key, Promise<Result>>();
    /** Keys whose call began in this turn of the event loop. */
    private readonly fresh = new Set<Key>();

    /**
     * Asks for the result of a call.
     *
     * @param key - what the call is about
     * @param call - the call
     */
    public ask(key: Key, call: () => Promise<Result>): Promise<Result> {
        const running = this.running.get(key);
        if (!running) {
            return this.start(key, call);
        }
        if (this.fresh.has(key)) {
            return running;
        }
        let waiting = this.waiting.get(key);
        if (!waiting) {
            const next = (): Promise<Result> => {
                this.waiting.delete(key);
                return this.start(key, call);
            };
            waiting = running.then(next, next);
            this.waiting.set(key, waiting);
        }
        return waiting;
    }

    private start(key: Key, call: () => Promise<Result>): Promise<Result> {
        this.fresh.add(key);
        void nextTurn().then(() => this.fresh.delete(key));
        const result = call().finally(() => this.running.delete(key));
        this.running.set(key, result);
        return result;
    }
}
