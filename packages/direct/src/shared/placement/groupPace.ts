/**
 * Pace of one group of model servers: the measured pause between events divided by the predicted duration of a pass.
 * It covers what the model leaves out, above all the skew of the experts and the uneven load of the ranks.
 *
 * Both the pause and the pace are bounds of nearly all passes: a stream is late if one of its pauses is too long, and the
 * usual stream has some 25 of them, so their mean says little about it.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import { DecayingBound } from "./decayingBound.ts";

/**
 * Time after which a measured pace counts no more, in milliseconds: the popularity of experts shifts within a few
 * seconds.
 */
const MAX_AGE_MS = 2_000;
/**
 * Longest pause that is a pass, in milliseconds. After a longer one the group has waited for a rank or for a switch of
 * maps, or its data have waited on the network, and fewer requests would not shorten that.
 */
const MAX_PASS_MS = 350;
/** Share of a pass within which the pauses of several streams are taken for those of one pass. */
const SAME_PASS_SHARE = 0.5;

/** Pace of one group. */
export class GroupPace {
    private readonly paces = new DecayingBound();
    private readonly pauses = new DecayingBound();
    private measuredMs = Number.NEGATIVE_INFINITY;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /** Time since the latest measurement, in milliseconds; infinite before the first. */
    public get ageMs(): number {
        return this.clock.nowMs() - this.measuredMs;
    }

    /** Whether the pace was measured lately. */
    public get isMeasured(): boolean {
        return this.ageMs <= MAX_AGE_MS;
    }

    /** The pace; 1 when nothing has been measured lately. */
    public get value(): number {
        return this.isMeasured ? this.paces.value ?? 1 : 1;
    }

    /** Bound of the pauses, in milliseconds; 0 when nothing has been measured lately. */
    public get pauseMs(): number {
        return this.isMeasured ? this.pauses.value ?? 0 : 0;
    }

    /**
     * Records a pause. Of the streams of one pass, the first one counts.
     *
     * @param pauseMs - time between two events of a stream of the group, in milliseconds
     * @param predictedMs - predicted duration of a pass at the load of the group, in milliseconds
     */
    public record(pauseMs: number, predictedMs: number): void {
        if (pauseMs > MAX_PASS_MS || this.ageMs < predictedMs * SAME_PASS_SHARE) {
            return;
        }
        if (!this.isMeasured) {
            this.paces.reset();
            this.pauses.reset();
        }
        this.paces.record(pauseMs / predictedMs);
        this.pauses.record(pauseMs);
        this.measuredMs = this.clock.nowMs();
    }
}
