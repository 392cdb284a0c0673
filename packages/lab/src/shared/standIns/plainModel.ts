/**
 * Stand-in of a plain service, with calls that may not be repeated.
 *
 * @packageDocumentation
 */

import { type Clock, MagnolialockError, type RandomSource, sleep } from "@magnolialock/kernel";
import { setMaxListeners } from "node:events";

/** One call. */
export interface PlainRequest {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** HTTP method. */
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    /** Body as text. */
    readonly body: string;
}

/** One run, as the service saw it. */
export interface PlainRun {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** HTTP method. */
    readonly method: string;
    /** When, in milliseconds. */
    readonly atMs: number;
    /** Calls that run, with this one. */
    readonly running: number;
    /** Whether the service was cold. */
    readonly isCold: boolean;
}

/** Options of a {@link PlainModel}. */
export interface PlainModelOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Mean service time, in milliseconds. */
    readonly serviceMs?: number;
    /** Whether it starts cold. */
    readonly isCold?: boolean;
    /** Calls that it must finish after a start before it is warm. */
    readonly completionsToWarm?: number;
}

const DEFAULT_SERVICE_MS = 8;
const COLD_SLOWDOWN = 5;
const DEFAULT_COMPLETIONS_TO_WARM = 20;

/** The process died while it ran the call; the run counts. */
export const PlainServiceDiedError = MagnolialockError.subclass("PlainServiceDiedError");

/** Every running call listens to the end of the process's life. */
const createLife = (): AbortController => {
    const life = new AbortController();
    setMaxListeners(0, life.signal);
    return life;
};

/** A plain service that counts its runs by request. */
export class PlainModel {
    /** All runs, for oracles. */
    public readonly runs: PlainRun[] = [];
    /** Whether it is in cold start. */
    public isCold: boolean;
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly serviceMs: number;
    private readonly completionsToWarm: number;
    private life = createLife();
    private runningCount = 0;
    private completionsSinceCold = 0;

    /** @param options - clock and service time */
    public constructor(options: PlainModelOptions) {
        this.clock = options.clock;
        this.random = options.random;
        this.serviceMs = options.serviceMs ?? DEFAULT_SERVICE_MS;
        this.isCold = options.isCold ?? false;
        this.completionsToWarm = options.completionsToWarm ?? DEFAULT_COMPLETIONS_TO_WARM;
    }

    /** Calls that run. */
    public get running(): number {
        return this.runningCount;
    }

    /**
     * Runs a call.
     *
     * @param request - the call
     * @returns the body of the answer
     * @throws PlainServiceDiedError when the service dies meanwhile
     */
    public async call(request: PlainRequest): Promise<string> {
        const { signal } = this.life;
        this.runningCount++;
        this.runs.push({
            requestId: request.requestId,
            method: request.method,
            atMs: this.clock.nowMs(),
            running: this.runningCount,
            isCold: this.isCold,
        });
        const factor = (this.isCold ? COLD_SLOWDOWN : 1) * (0.5 + this.random.nextFloat());
        try {
            await sleep(this.clock, this.serviceMs * factor, signal);
        }
        catch (error) {
            throw new PlainServiceDiedError("the service died", { cause: error });
        }
        finally {
            this.runningCount--;
        }
        this.noteCompletion();
        return JSON.stringify({ request_id: request.requestId, path: request.path, body: request.body });
    }

    /** Dies and starts again, cold; running calls break. */
    public restart(): void {
        this.life.abort();
        this.life = createLife();
        this.isCold = true;
        this.completionsSinceCold = 0;
    }

    private noteCompletion(): void {
        this.completionsSinceCold++;
        if (this.completionsSinceCold >= this.completionsToWarm) {
            this.isCold = false;
        }
    }
}
