/**
 * Simulated model engine with continuous batching, a prefix cache, a cold start and a load report that lags.
 *
 * @packageDocumentation
 */

import { type Clock, hash32, MagnolialockError, type RandomSource, type Timer } from "@magnolialock/kernel";

/** A request for a completion. */
export interface EngineRequest {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** Prompt. */
    readonly prompt: string;
    /** Length of the complete answer, in tokens. */
    readonly totalTokens: number;
    /** Number of tokens that the caller already has; the engine continues after them. */
    readonly resumeFromToken: number;
}

/** Receives the events of a completion. */
export interface EngineListener {
    /** Called with the texts of the next consecutive tokens. */
    onTokens(texts: readonly string[]): void;
    /** Called when all tokens have been sent. */
    onEnd(): void;
    /** Called when the engine dies before the last token. */
    onFailure(error: Error): void;
}

/** Start of a completion, as recorded by the engine. */
export interface CompletionStart {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** Time of the start on the engine's clock, in milliseconds. */
    readonly atMs: number;
    /** Number of running completions, including this one. */
    readonly running: number;
    /** Whether the engine was in cold start. */
    readonly isCold: boolean;
}

/** Options of a {@link SimulatedEngine}. */
export interface SimulatedEngineOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Number of concurrent completions that it sustains in cold start. */
    readonly coldLimit: number;
    /** Number of concurrent completions that it sustains when warm. */
    readonly warmLimit: number;
    /** Base duration of a decoding step, in milliseconds. */
    readonly stepBaseMs?: number;
    /** Additional duration of a step for each running completion, in milliseconds. */
    readonly stepPerSequenceMs?: number;
    /** Number of steps simulated by one timer; a larger number makes long runs cheaper. */
    readonly stepsPerBatch?: number;
    /** Prefill speed, in prompt characters per millisecond. */
    readonly prefillCharactersPerMs?: number;
    /** Capacity of the prefix cache, in prompt prefixes. */
    readonly cacheCapacity?: number;
    /** Number of finished completions that end a cold start. */
    readonly completionsToWarm?: number;
    /** Whether it starts warm. */
    readonly startsWarm?: boolean;
    /** Lag of the load report, in milliseconds. */
    readonly reportLagMs?: number;
    /**
     * The engine dies when it runs more completions than its limit times this factor. By default it never
     * dies of overload, it only slows down.
     */
    readonly overloadFactor?: number;
}

interface Sequence {
    readonly request: EngineRequest;
    readonly listener: EngineListener;
    nextToken: number;
    prefillMs: number;
}

const DEFAULT_OPTIONS = {
    stepBaseMs: 18,
    stepPerSequenceMs: 0.6,
    stepsPerBatch: 1,
    prefillCharactersPerMs: 40,
    cacheCapacity: 64,
    completionsToWarm: 4,
    startsWarm: true,
    reportLagMs: 500,
    overloadFactor: Infinity,
};
/** Factor on the duration of a step in cold start. */
const COLD_SLOWDOWN = 4;
/** Length of the prompt prefix that the cache stores, in characters. */
const CACHED_PREFIX_CHARACTERS = 64;

/** Error of a completion whose engine process died. */
export const EngineDiedError = MagnolialockError.subclass("EngineDiedError");

/**
 * Returns one token of the answer to a prompt. The answer depends only on the prompt, so that all engines
 * agree on it.
 *
 * @param prompt - the prompt
 * @param index - index of the token, from 0
 * @returns text of the token
 */
export const tokenText = (prompt: string, index: number): string => ` ${hash32(prompt, index).toString(36)}`;

/** Model engine that returns synthetic tokens with the timing of a real engine. */
export class SimulatedEngine {
    /** All starts of completions, for the oracle. */
    public readonly starts: CompletionStart[] = [];
    private readonly options: Required<SimulatedEngineOptions>;
    private readonly sequences = new Set<Sequence>();
    private readonly cachedPrefixes = new Map<string, true>();
    private readonly loadSamples: { readonly atMs: number; readonly running: number; }[] = [];
    private timer: Timer | undefined;
    private incarnation = 1;
    private completionsSinceCold = 0;
    private isWarm: boolean;
    private stalledUntilMs = 0;

    /** @param options - clock, limits and speeds */
    public constructor(options: SimulatedEngineOptions) {
        this.options = { ...DEFAULT_OPTIONS, ...options };
        this.isWarm = this.options.startsWarm;
    }

    /** Whether the engine is in cold start. */
    public get isCold(): boolean {
        return !this.isWarm;
    }

    /** Number of running completions. */
    public get running(): number {
        return this.sequences.size;
    }

    /** Identifier of the engine process, which changes at a restart. */
    public get processId(): string {
        return `engine-${this.incarnation}`;
    }

    /** Cached prompt prefixes, least recently used first. */
    public get prefixes(): string[] {
        return [...this.cachedPrefixes.keys()];
    }

    /** Number of running completions as the load report shows it, which is `reportLagMs` old. */
    public get reportedRunning(): number {
        const reportTimeMs = this.options.clock.nowMs() - this.options.reportLagMs;
        while (this.loadSamples.length > 1 && (this.loadSamples[1]?.atMs ?? 0) <= reportTimeMs) {
            this.loadSamples.shift();
        }
        const [oldest] = this.loadSamples;
        return oldest && oldest.atMs <= reportTimeMs ? oldest.running : 0;
    }

    /**
     * Starts a completion.
     *
     * @param request - prompt and length
     * @param listener - receives the tokens and the end
     * @returns a function that cancels the completion
     */
    public submit(request: EngineRequest, listener: EngineListener): () => void {
        const sequence: Sequence = {
            request,
            listener,
            nextToken: request.resumeFromToken,
            prefillMs: this.prefillTimeMs(request.prompt),
        };
        this.sequences.add(sequence);
        this.starts.push({
            requestId: request.requestId,
            atMs: this.options.clock.nowMs(),
            running: this.running,
            isCold: this.isCold,
        });
        this.recordLoad();
        this.schedule();
        if (this.isOverloaded) {
            this.options.clock.setTimer(0, () => this.restart());
        }
        return () => {
            this.sequences.delete(sequence);
            this.recordLoad();
        };
    }

    /** Puts the engine back into cold start and clears its prefix cache, without any report. */
    public turnCold(): void {
        this.isWarm = false;
        this.completionsSinceCold = 0;
        this.cachedPrefixes.clear();
    }

    /**
     * Suspends all computation.
     *
     * @param durationMs - duration of the stall, in milliseconds
     */
    public stall(durationMs: number): void {
        this.stalledUntilMs = this.options.clock.nowMs() + durationMs;
    }

    /** Restarts the engine process in cold start; running completions fail. */
    public restart(): void {
        const interrupted = [...this.sequences];
        this.sequences.clear();
        this.incarnation++;
        this.turnCold();
        this.recordLoad();
        for (const { listener } of interrupted) {
            listener.onFailure(new EngineDiedError("the engine died"));
        }
    }

    private get isOverloaded(): boolean {
        const { coldLimit, warmLimit, overloadFactor } = this.options;
        return this.running > (this.isCold ? coldLimit : warmLimit) * overloadFactor;
    }

    private prefillTimeMs(prompt: string): number {
        const prefix = prompt.slice(0, CACHED_PREFIX_CHARACTERS);
        const isCached = this.cachedPrefixes.delete(prefix);
        this.cachedPrefixes.set(prefix, true);
        if (this.cachedPrefixes.size > this.options.cacheCapacity) {
            const [oldest] = this.cachedPrefixes.keys();
            this.cachedPrefixes.delete(oldest as string);
        }
        const characters = isCached ? Math.max(0, prompt.length - CACHED_PREFIX_CHARACTERS) : prompt.length;
        return characters / this.options.prefillCharactersPerMs;
    }

    private recordLoad(): void {
        this.loadSamples.push({ atMs: this.options.clock.nowMs(), running: this.running });
    }

    private stepMs(): number {
        const { stepBaseMs, stepPerSequenceMs } = this.options;
        const stepMs = stepBaseMs + stepPerSequenceMs * this.running;
        return this.isCold ? stepMs * COLD_SLOWDOWN : stepMs;
    }

    private schedule(): void {
        if (this.timer || this.sequences.size === 0) {
            return;
        }
        const { clock, stepsPerBatch } = this.options;
        const stallMs = Math.max(0, this.stalledUntilMs - clock.nowMs());
        const durationMs = this.stepMs() * stepsPerBatch;
        this.timer = clock.setTimer(stallMs + durationMs, () => {
            this.timer = undefined;
            this.finishBatch(durationMs);
            this.schedule();
        });
    }

    private finishBatch(durationMs: number): void {
        if (this.stalledUntilMs > this.options.clock.nowMs()) {
            return;
        }
        for (const sequence of [...this.sequences]) {
            this.advanceSequence(sequence, durationMs);
        }
    }

    private advanceSequence(sequence: Sequence, durationMs: number): void {
        if (sequence.prefillMs > 0) {
            sequence.prefillMs -= durationMs;
            return;
        }
        const { prompt, totalTokens } = sequence.request;
        const end = Math.min(totalTokens, sequence.nextToken + this.options.stepsPerBatch);
        const texts: string[] = [];
        for (; sequence.nextToken < end; sequence.nextToken++) {
            texts.push(tokenText(prompt, sequence.nextToken));
        }
        if (texts.length > 0) {
            sequence.listener.onTokens(texts);
        }
        if (sequence.nextToken >= totalTokens) {
            this.completeSequence(sequence);
        }
    }

    private completeSequence(sequence: Sequence): void {
        this.sequences.delete(sequence);
        this.recordLoad();
        this.completionsSinceCold++;
        if (this.completionsSinceCold >= this.options.completionsToWarm) {
            this.isWarm = true;
        }
        sequence.listener.onEnd();
    }
}
