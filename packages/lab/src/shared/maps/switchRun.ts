/**
 * The map switches of an experiment, run by the product's tasks on an in-process network.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";
import { type EncodedMap, encodeMap, type ExpertMap, type MapRoundResult } from "@magnolialock/maps";
import { VirtualGroup } from "../mapSwitch/virtualGroup.ts";

/** Figures of the switches. */
export interface SwitchFigures {
    /** Steps that ran on different maps. */
    readonly mixedMapSteps: number;
    /** Changes of map that were decided. */
    readonly switches: number;
    /** 99th percentile of the time from proposal to the first step on the new map, in milliseconds. */
    readonly switchMsP99: number;
}

/** Longest time of one switch, in milliseconds. */
const SWITCH_LIMIT_MS = 30_000;
const RETRY_MS = 200;

/** Group whose agents carry out the switches that a policy decides. */
export class SwitchRun implements AsyncDisposable {
    private readonly timesMs: number[] = [];

    private constructor(private readonly group: VirtualGroup, private readonly ranks: number) {}

    /**
     * Starts the agents of a group.
     *
     * @param map - first map
     * @param random - source of random numbers
     * @returns the group, once it runs
     * @throws RangeError when the group does not come to run
     */
    public static async start(map: ExpertMap, random: RandomSource): Promise<SwitchRun> {
        const { ranks } = map.shape;
        const group = await VirtualGroup.start({ ranks, random, initialMap: encodeMap(map) });
        if (await group.runSteps(1, SWITCH_LIMIT_MS) === undefined) {
            throw new RangeError(`the group has run no step after ${SWITCH_LIMIT_MS} ms`);
        }
        return new SwitchRun(group, ranks);
    }

    /**
     * Changes the map; the agents take turns as coordinators.
     *
     * @param map - next map
     * @throws RangeError when the group does not get to its first step on the map
     */
    public async change(map: ExpertMap): Promise<void> {
        const { group } = this;
        const encoded = encodeMap(map);
        const startMs = group.clock.nowMs();
        let result = await this.propose(encoded);
        while (result.kind === "failed") {
            if (group.clock.nowMs() - startMs > SWITCH_LIMIT_MS) {
                throw new RangeError(`the map was not changed: ${result.reason}`);
            }
            await group.clock.advance(RETRY_MS);
            result = await this.propose(encoded);
        }
        const isOnMap = (): boolean =>
            group.lockStep.mapOfStep.get(group.lockStep.completedSteps - 1) === encoded.id;
        while (!isOnMap()) {
            if (await group.runSteps(1, SWITCH_LIMIT_MS) === undefined) {
                throw new RangeError("the group stands still");
            }
        }
        this.timesMs.push(group.clock.nowMs() - startMs);
    }

    private propose(map: EncodedMap): Promise<MapRoundResult> {
        return this.group.propose(this.timesMs.length % this.ranks, map, SWITCH_LIMIT_MS);
    }

    /** Figures so far. */
    public figures(): SwitchFigures {
        const sorted = this.timesMs.toSorted((left, right) => left - right);
        return {
            mixedMapSteps: this.group.lockStep.mixedMapSteps,
            switches: sorted.length,
            switchMsP99: sorted[Math.max(0, Math.ceil(0.99 * sorted.length) - 1)] ?? 0,
        };
    }

    /** Stops the agents. */
    public [Symbol.asyncDispose](): Promise<void> {
        return this.group.stop();
    }
}
