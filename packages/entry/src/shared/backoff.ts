/**
 * Backoff between attempts, with decorrelated jitter.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";

const BASE_MS = 5;
const MAX_MS = 500;
const GROWTH = 3;

/** Draws each delay at random between the base and a multiple of the previous delay. */
export class Backoff {
    private lastMs = BASE_MS;

    /** @param random - source of random numbers */
    public constructor(private readonly random: RandomSource) {}

    /** Draws the next delay, in milliseconds. */
    public nextMs(): number {
        this.lastMs = Math.min(MAX_MS, BASE_MS + this.random.nextFloat() * (this.lastMs * GROWTH - BASE_MS));
        return this.lastMs;
    }
}
