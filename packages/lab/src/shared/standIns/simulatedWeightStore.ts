/**
 * Simulated weight store: loads run one after another at a fixed rate.
 *
 * @packageDocumentation
 */

/** Options of a {@link SimulatedWeightStore}. */
export interface SimulatedWeightStoreOptions {
    /** Throughput of the store, in bytes per second. */
    readonly bytesPerS: number;
}

/** Weight store with limited throughput. */
export class SimulatedWeightStore {
    /** Total size of all loads, in bytes. */
    public bytesLoaded = 0;
    private busyUntilMs = 0;
    private readonly bytesPerS: number;

    /** @param options - throughput of the store */
    public constructor(options: SimulatedWeightStoreOptions) {
        this.bytesPerS = options.bytesPerS;
    }

    /**
     * Queues a load after all earlier ones.
     *
     * @param nowMs - current time, in milliseconds
     * @param bytes - size of the load, in bytes
     * @returns time at which the load completes, in milliseconds
     */
    public load(nowMs: number, bytes: number): number {
        this.bytesLoaded += bytes;
        this.busyUntilMs = Math.max(nowMs, this.busyUntilMs) + bytes / this.bytesPerS * 1_000;
        return this.busyUntilMs;
    }

    /**
     * Returns whether a load is running.
     *
     * @param nowMs - current time, in milliseconds
     * @returns true while a load runs
     */
    public isBusy(nowMs: number): boolean {
        return nowMs < this.busyUntilMs;
    }
}
