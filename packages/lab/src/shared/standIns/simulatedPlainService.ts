/**
 * Simulated plain service, whose calls may not be safe to repeat.
 *
 * @packageDocumentation
 */

import { type Clock, MagnolialockError, type RandomSource, sleep } from "@magnolialock/kernel";
import { setMaxListeners } from "node:events";

/** A call to the service. */
export interface PlainRequest {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** HTTP method. */
    readonly method: string;
    /** Path with the query string. */
    readonly path: string;
    /** Body as text. */
    readonly body: string;
}

/** Start of a call, as recorded by the service. */
export interface PlainRun {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** HTTP method. */
    readonly method: string;
    /** Time of the start, in milliseconds. */
    readonly atMs: number;
    /** Number of running calls, including this one. */
    readonly running: number;
    /** Whether the service was in cold start. */
    readonly isCold: boolean;
}

/** Options of a {@link SimulatedPlainService}. */
export interface SimulatedPlainServiceOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Mean service time, in milliseconds. */
    readonly serviceMs?: number;
    /** Whether the service begins in cold start. */
    readonly isCold?: boolean;
    /** Number of completed calls that end a cold start. */
    readonly completionsToWarm?: number;
}

const DEFAULT_SERVICE_MS = 8;
/** Factor on the service time in cold start. */
const COLD_SLOWDOWN = 5;
const DEFAULT_COMPLETIONS_TO_WARM = 20;

/** Error of a call whose process died during execution; the call counts as run. */
export const PlainServiceDiedError = MagnolialockError.subclass("PlainServiceDiedError");

/**
 * Creates a controller that is aborted when the process ends. Its signal has no listener limit, because every
 * running call listens to it.
 */
const createProcessController = (): AbortController => {
    const controller = new AbortController();
    setMaxListeners(0, controller.signal);
    return controller;
};

/** Plain service that records every call it runs. */
export class SimulatedPlainService {
    /** All started calls, for the oracle. */
    public readonly runs: PlainRun[] = [];
    /** Whether the service is in cold start. */
    public isCold: boolean;
    private readonly clock: Clock;
    private readonly random: RandomSource;
    private readonly serviceMs: number;
    private readonly completionsToWarm: number;
    private processController = createProcessController();
    private runningCount = 0;
    private completionsSinceCold = 0;

    /** @param options - clock and service time */
    public constructor(options: SimulatedPlainServiceOptions) {
        this.clock = options.clock;
        this.random = options.random;
        this.serviceMs = options.serviceMs ?? DEFAULT_SERVICE_MS;
        this.isCold = options.isCold ?? false;
        this.completionsToWarm = options.completionsToWarm ?? DEFAULT_COMPLETIONS_TO_WARM;
    }

    /** Number of running calls. */
    public get running(): number {
        return this.runningCount;
    }

    /**
     * Runs a call.
     *
     * @param request - the call
     * @returns body of the response
     * @throws PlainServiceDiedError if the service dies before the call completes
     */
    public async call(request: PlainRequest): Promise<string> {
        const { signal } = this.processController;
        this.runningCount++;
        this.runs.push({
            requestId: request.requestId,
            method: request.method,
            atMs: this.clock.nowMs(),
            running: this.runningCount,
            isCold: this.isCold,
        });
        const slowdown = (this.isCold ? COLD_SLOWDOWN : 1) * (0.5 + this.random.nextFloat());
        try {
            await sleep(this.clock, this.serviceMs * slowdown, signal);
        }
        catch (error) {
            throw new PlainServiceDiedError("the service died", { cause: error });
        }
        finally {
            this.runningCount--;
        }
        this.recordCompletion();
        return JSON.stringify({ request_id: request.requestId, path: request.path, body: request.body });
    }

    /** Restarts the service in cold start; running calls fail. */
    public restart(): void {
        this.processController.abort();
        this.processController = createProcessController();
        this.isCold = true;
        this.completionsSinceCold = 0;
    }

    private recordCompletion(): void {
        this.completionsSinceCold++;
        if (this.completionsSinceCold >= this.completionsToWarm) {
            this.isCold = false;
        }
    }
}
