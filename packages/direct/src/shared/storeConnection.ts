/**
 * Calls to the platform's store over connections that may go silent, and to a store that may answer nobody for a while:
 * only a time-out shows either. Calls that are overdue are made again on new connections until one is answered, and the
 * instance that hears the store first tells the others, whose open calls may never be answered.
 *
 * @packageDocumentation
 */

import {
    type Revision,
    type Runtime,
    settlesWithin,
    sleep,
    timeoutSignal,
    type Timer,
} from "@magnolialock/kernel";
import { platformSilent } from "./directEvents.ts";

/** Who found that open connections have gone silent. */
export type SilenceOrigin = "own" | "peer";

/** Options of a {@link StoreConnection}. */
export interface StoreConnectionOptions {
    /** Runtime of the process. */
    readonly runtime: Pick<Runtime, "clock" | "random" | "events">;
    /** Opens new connections for later calls; those that are open end with their calls. */
    readonly reconnect: () => void;
    /** Returns the number of instances that call the store, this one included. */
    readonly fleetSize: () => number;
    /** Returns the newest known revision of the store, for the log. */
    readonly revision: () => Revision;
    /** Called when the current call must be made again, since its connection may have gone silent. */
    readonly onRestart: () => void;
    /**
     * Called when open connections turn out to have gone silent: those to other processes may be silent, too.
     *
     * @param origin - whether this instance found it or another one
     */
    readonly onSilence: (origin: SilenceOrigin) => void;
}

/** A call to the store that is made again on new connections while its answer is overdue. */
export interface StoreCall<T> {
    /** Time after which the answer is overdue, in milliseconds. */
    readonly overdueMs: number;
    /** Time after which the call fails, in milliseconds. */
    readonly timeoutMs: number;
    /** Makes the call. */
    readonly make: (signal: AbortSignal) => Promise<T>;
    /** Makes the call that is to be answered at once on a new connection. */
    readonly check: (signal: AbortSignal) => Promise<T>;
    /**
     * Returns the time until the next check, in milliseconds; that of {@link StoreConnection.checkPeriodMs} by default.
     *
     * @param checks - number of checks so far
     */
    readonly checkAfterMs?: (checks: number) => number;
}

/** Time between two checks of one instance for each instance of the fleet, in milliseconds: the fleet makes 14 a second. */
const CHECK_PERIOD_PER_INSTANCE_MS = 70;
const MIN_CHECK_PERIOD_MS = 500;
/** Longest time between two checks, in milliseconds: an instance may be the only one that the store does not answer. */
const MAX_CHECK_PERIOD_MS = 5_000;
/** Time for which instances tell each other of a silence, in milliseconds: a few reports to other data centres. */
const SILENCE_TOLD_MS = 4_000;
/**
 * Shortest time between two restarts of the call because another instance has found a silence, in milliseconds: on links
 * that lose packets an answer that is sent again looks like one.
 */
const MIN_RESTART_INTERVAL_MS = 1_000;
/**
 * Shortest time from the begin of a silence until it is found, in milliseconds: what is found sooner after an answer is an
 * earlier one, or the word of it has taken longer on the way.
 */
const MIN_NOTICE_MS = 300;

/** Connections of one instance to the store. */
export class StoreConnection implements Disposable {
    private readonly options: StoreConnectionOptions;
    /** Whether a call has timed out since the last answer. */
    private isUnanswered = false;
    private heardMs = Number.NEGATIVE_INFINITY;
    /** Time of the last answer, or from which the connections are new. */
    private verifiedMs = Number.NEGATIVE_INFINITY;
    /** Time at which some instance last found that open connections had gone silent. */
    private silenceFoundMs = Number.NEGATIVE_INFINITY;
    private lastRestartMs = Number.NEGATIVE_INFINITY;
    /** When the silence was found for which the call was last restarted. */
    private restartedForMs = Number.NEGATIVE_INFINITY;
    private restart: Timer | undefined;
    private callCount = 0;
    private lastCallMs = Number.NEGATIVE_INFINITY;

    /** @param options - runtime and callbacks */
    public constructor(options: StoreConnectionOptions) {
        this.options = options;
    }

    /** Whether calls time out: the store answers nobody, or not this instance. */
    public get isSilent(): boolean {
        return this.isUnanswered;
    }

    /** Time since the last answer, in milliseconds; infinite before the first. */
    public get sinceHeardMs(): number {
        return this.options.runtime.clock.nowMs() - this.heardMs;
    }

    /** Time since the latest call began, in milliseconds; infinite before the first. */
    public get sinceCallMs(): number {
        return this.options.runtime.clock.nowMs() - this.lastCallMs;
    }

    /** Number of calls so far. */
    public get calls(): number {
        return this.callCount;
    }

    /**
     * Time since some instance found that open connections to the store had gone silent, in milliseconds; undefined if
     * none has lately.
     */
    public get silenceAgeMs(): number | undefined {
        const ageMs = this.options.runtime.clock.nowMs() - this.silenceFoundMs;
        return ageMs < SILENCE_TOLD_MS ? ageMs : undefined;
    }

    /**
     * Time between two checks of this instance, in milliseconds. The checks of a fleet come at random moments, so its size
     * bounds the gaps between them rather than the period does.
     */
    public get checkPeriodMs(): number {
        const { fleetSize, runtime: { random } } = this.options;
        const periodMs = fleetSize() * CHECK_PERIOD_PER_INSTANCE_MS;
        return Math.min(MAX_CHECK_PERIOD_MS, Math.max(MIN_CHECK_PERIOD_MS, periodMs))
            * (0.8 + 0.4 * random.nextFloat());
    }

    /** Tells whether a silence was found after a time, by this instance or another one. */
    public isSilentSince(sinceMs: number): boolean {
        return this.silenceFoundMs >= sinceMs;
    }

    /** Opens new connections; what was heard before on the open ones says nothing of them. */
    public reconnect(): void {
        this.options.reconnect();
        this.verifiedMs = this.options.runtime.clock.nowMs();
    }

    /**
     * Calls the store, and again on new connections while the answer is overdue; the first answer counts.
     *
     * @param call - the call
     * @param signal - cancels it
     * @returns the answer
     * @throws the error of the first call if no call is answered in time
     */
    public async call<T>(call: StoreCall<T>, signal: AbortSignal): Promise<T> {
        const { clock } = this.options.runtime;
        const ended = new AbortController();
        using timeout = timeoutSignal(clock, call.timeoutMs, signal, ended.signal);
        try {
            return await this.callUntilAnswered(call, timeout.signal);
        }
        catch (error) {
            this.isUnanswered ||= timeout.signal.aborted && !signal.aborted;
            throw error;
        }
        finally {
            ended.abort();
        }
    }

    /**
     * Handles the word of another instance that open connections to the store have gone silent while new ones are answered.
     *
     * @param ageMs - time since some instance found it, in milliseconds
     */
    public handleSilence(ageMs: number): void {
        const { clock } = this.options.runtime;
        const nowMs = clock.nowMs();
        if (ageMs >= SILENCE_TOLD_MS) {
            return;
        }
        this.silenceFoundMs = Math.max(this.silenceFoundMs, nowMs - ageMs);
        const waitMs = this.lastRestartMs + MIN_RESTART_INTERVAL_MS - nowMs;
        if (waitMs <= 0) {
            this.restartIfUnverified();
        }
        else {
            this.restart ??= clock.setTimer(waitMs, () => {
                this.restart = undefined;
                this.restartIfUnverified();
            });
        }
    }

    /** Cancels the timer. */
    public [Symbol.dispose](): void {
        this.restart?.cancel();
    }

    private async callUntilAnswered<T>(call: StoreCall<T>, signal: AbortSignal): Promise<T> {
        const { clock } = this.options.runtime;
        const lastHeardMs = this.heardMs;
        let isFirstOpen = true;
        this.recordCall();
        const first = call.make(signal).finally(() => isFirstOpen = false);
        const calls = [first];
        let answered: Promise<T> = first;
        for (let delayMs = call.overdueMs; !(await settlesWithin(clock, answered, delayMs));) {
            this.reconnect();
            this.recordCall();
            calls.push(call.check(signal));
            answered = Promise.any(calls).catch(() => first);
            delayMs = call.checkAfterMs?.(calls.length - 1) ?? this.checkPeriodMs;
        }
        const answer = await answered;
        // An answer to the first call that this process has not read yet shows that its connection works.
        await sleep(clock, 0);
        calls.forEach(other => void other.catch(() => {}));
        if (isFirstOpen || this.isUnanswered) {
            this.recordSilence(lastHeardMs);
        }
        this.isUnanswered = false;
        this.heardMs = clock.nowMs();
        this.verifiedMs = this.heardMs;
        return answer;
    }

    private recordCall(): void {
        this.callCount++;
        this.lastCallMs = this.options.runtime.clock.nowMs();
    }

    private recordSilence(lastHeardMs: number): void {
        const { onSilence, revision, runtime: { clock, events } } = this.options;
        const nowMs = clock.nowMs();
        this.silenceFoundMs = nowMs;
        events.emit(platformSilent, {
            sinceVerifiedMs: Number.isFinite(lastHeardMs) ? Math.round(nowMs - lastHeardMs) : undefined,
            revision: revision(),
        });
        onSilence("own");
    }

    private restartIfUnverified(): void {
        const { onRestart, onSilence, runtime: { clock } } = this.options;
        const handledMs = Math.max(this.heardMs, this.restartedForMs) + MIN_NOTICE_MS;
        if (this.silenceFoundMs <= Math.max(this.verifiedMs, handledMs)) {
            return;
        }
        this.lastRestartMs = clock.nowMs();
        this.restartedForMs = this.silenceFoundMs;
        this.reconnect();
        onRestart();
        onSilence("peer");
    }
}
