/**
 * Stand-in of the weight store: loads take turns and share one rate.
 *
 * @packageDocumentation
 */

/** Options of a {@link WeightStoreModel}. */
export interface WeightStoreModelOptions {
    /** What the store gives, in bytes per second. */
    readonly bytesPerS: number;
}

/** Weight store that limits its rate. */
export class WeightStoreModel {
    /** Bytes that were loaded. */
    public bytesLoaded = 0;
    private freeAtMs = 0;
    private readonly bytesPerS: number;

    /** @param options - rate */
    public constructor(options: WeightStoreModelOptions) {
        this.bytesPerS = options.bytesPerS;
    }

    /**
     * Loads bytes behind what is being loaded already.
     *
     * @param nowMs - present time, in milliseconds
     * @param bytes - how much
     * @returns when the load is complete, in milliseconds
     */
    public load(nowMs: number, bytes: number): number {
        this.bytesLoaded += bytes;
        this.freeAtMs = Math.max(nowMs, this.freeAtMs) + bytes / this.bytesPerS * 1_000;
        return this.freeAtMs;
    }

    /**
     * Tells whether a load is running.
     *
     * @param nowMs - present time, in milliseconds
     * @returns true while the store is busy
     */
    public isBusy(nowMs: number): boolean {
        return nowMs < this.freeAtMs;
    }
}
