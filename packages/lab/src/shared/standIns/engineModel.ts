/**
 * Stand-in of a model engine: continuous batching, a prefix cache, cold start and a lagging load report.
 *
 * @packageDocumentation
 */

import { type Clock, hash32, MagnolialockError, type RandomSource, type Timer } from "@magnolialock/kernel";

/** One completion to compute. */
export interface EngineRequest {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** Prompt. */
    readonly prompt: string;
    /** Tokens of the whole answer. */
    readonly totalTokens: number;
    /** Tokens that the caller already has. */
    readonly resumeFromToken: number;
}

/** Receives a completion. */
export interface EngineListener {
    /** Gets consecutive tokens. */
    onTokens(texts: readonly string[]): void;
    /** The completion is whole. */
    onEnd(): void;
    /** The engine died. */
    onBroken(error: Error): void;
}

/** One start of work, as the engine saw it. */
export interface EngineStart {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** When, on the engine's clock, in milliseconds. */
    readonly atMs: number;
    /** Completions that run, with this one. */
    readonly running: number;
    /** Whether the engine was cold. */
    readonly isCold: boolean;
}

/** Options of an {@link EngineModel}. */
export interface EngineModelOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Completions that it bears at once in cold start. */
    readonly coldLimit: number;
    /** Completions that it bears at once when warm. */
    readonly warmLimit: number;
    /** Time of a step without load, in milliseconds. */
    readonly stepBaseMs?: number;
    /** Extra time of a step for each running completion, in milliseconds. */
    readonly stepPerSequenceMs?: number;
    /** Steps that are computed together, for cheap long runs. */
    readonly stepsPerBatch?: number;
    /** Prompt characters computed in a millisecond. */
    readonly prefillCharactersPerMs?: number;
    /** Prompt prefixes that the cache holds. */
    readonly cacheCapacity?: number;
    /** Completions that it must finish before it is warm. */
    readonly completionsToWarm?: number;
    /** Whether it starts warm. */
    readonly startsWarm?: boolean;
    /** Age of the load report, in milliseconds. */
    readonly reportLagMs?: number;
    /** The engine dies when it runs more than its limit times this factor; by default it only slows down. */
    readonly overloadFactor?: number;
}

interface Sequence {
    readonly request: EngineRequest;
    readonly listener: EngineListener;
    nextToken: number;
    prefillMs: number;
}

const DEFAULTS = {
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
const COLD_SLOWDOWN = 4;
const PREFIX_CHARACTERS = 64;

/** The engine process has died. */
export const EngineDiedError = MagnolialockError.subclass("EngineDiedError");

/**
 * Gives a token of the answer to a prompt; all engines give the same answer.
 *
 * @param prompt - the prompt
 * @param index - index of the token, from 0
 * @returns its text
 */
export const tokenText = (prompt: string, index: number): string => ` ${hash32(prompt, index).toString(36)}`;

/** A model engine that computes pretended tokens in the time a real one would take. */
export class EngineModel {
    /** All starts of work, for oracles. */
    public readonly starts: EngineStart[] = [];
    private readonly options: Required<EngineModelOptions>;
    private readonly sequences = new Set<Sequence>();
    private readonly cachedPrefixes = new Map<string, true>();
    private readonly reports: { readonly atMs: number; readonly running: number; }[] = [];
    private timer: Timer | undefined;
    private processNumber = 1;
    private completionsSinceCold = 0;
    private isWarm: boolean;
    private stalledUntilMs = 0;

    /** @param options - clock, limits and speeds */
    public constructor(options: EngineModelOptions) {
        this.options = { ...DEFAULTS, ...options };
        this.isWarm = this.options.startsWarm;
    }

    /** Whether it bears only a little load. */
    public get isCold(): boolean {
        return !this.isWarm;
    }

    /** Completions that run. */
    public get running(): number {
        return this.sequences.size;
    }

    /** Identifier of the engine process. */
    public get processId(): string {
        return `engine-${this.processNumber}`;
    }

    /** Prompt prefixes in the cache, oldest first. */
    public get prefixes(): string[] {
        return [...this.cachedPrefixes.keys()];
    }

    /** Completions that ran a while ago: the report lags. */
    public get reportedRunning(): number {
        const seenMs = this.options.clock.nowMs() - this.options.reportLagMs;
        while (this.reports.length > 1 && (this.reports[1]?.atMs ?? 0) <= seenMs) {
            this.reports.shift();
        }
        const [oldest] = this.reports;
        return oldest && oldest.atMs <= seenMs ? oldest.running : 0;
    }

    /**
     * Starts a completion.
     *
     * @param request - prompt and length
     * @param listener - gets the tokens
     * @returns a function that cancels it
     */
    public submit(request: EngineRequest, listener: EngineListener): () => void {
        const sequence: Sequence = {
            request,
            listener,
            nextToken: request.resumeFromToken,
            prefillMs: this.prefillMsOf(request.prompt),
        };
        this.sequences.add(sequence);
        this.starts.push({
            requestId: request.requestId,
            atMs: this.options.clock.nowMs(),
            running: this.running,
            isCold: this.isCold,
        });
        this.noteLoad();
        this.schedule();
        if (this.isOverloaded) {
            this.options.clock.setTimer(0, () => this.restart());
        }
        return () => {
            this.sequences.delete(sequence);
            this.noteLoad();
        };
    }

    /** Turns cold without a sign. */
    public turnCold(): void {
        this.isWarm = false;
        this.completionsSinceCold = 0;
        this.cachedPrefixes.clear();
    }

    /**
     * Stops computing for a time.
     *
     * @param durationMs - how long, in milliseconds
     */
    public stall(durationMs: number): void {
        this.stalledUntilMs = this.options.clock.nowMs() + durationMs;
    }

    /** Dies and starts again, cold; running completions break. */
    public restart(): void {
        const broken = [...this.sequences];
        this.sequences.clear();
        this.processNumber++;
        this.turnCold();
        this.noteLoad();
        for (const { listener } of broken) {
            listener.onBroken(new EngineDiedError("the engine died"));
        }
    }

    private get isOverloaded(): boolean {
        const { coldLimit, warmLimit, overloadFactor } = this.options;
        return this.running > (this.isCold ? coldLimit : warmLimit) * overloadFactor;
    }

    private prefillMsOf(prompt: string): number {
        const prefix = prompt.slice(0, PREFIX_CHARACTERS);
        const isCached = this.cachedPrefixes.delete(prefix);
        this.cachedPrefixes.set(prefix, true);
        if (this.cachedPrefixes.size > this.options.cacheCapacity) {
            const [oldest] = this.cachedPrefixes.keys();
            this.cachedPrefixes.delete(oldest as string);
        }
        const characters = isCached ? Math.max(0, prompt.length - PREFIX_CHARACTERS) : prompt.length;
        return characters / this.options.prefillCharactersPerMs;
    }

    private noteLoad(): void {
        this.reports.push({ atMs: this.options.clock.nowMs(), running: this.running });
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
            this.advance(sequence, durationMs);
        }
    }

    private advance(sequence: Sequence, durationMs: number): void {
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
            this.complete(sequence);
        }
    }

    private complete(sequence: Sequence): void {
        this.sequences.delete(sequence);
        this.noteLoad();
        this.completionsSinceCold++;
        if (this.completionsSinceCold >= this.options.completionsToWarm) {
            this.isWarm = true;
        }
        sequence.listener.onEnd();
    }
}
