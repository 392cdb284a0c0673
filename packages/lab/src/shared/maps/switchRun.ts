/**
 * Map switches of an experiment, run by the product's tasks on an in-process network.
 *
 * @packageDocumentation
 */

import type { RandomSource } from "@magnolialock/kernel";
import { type EncodedMap, encodeMap, type ExpertMap, type MapRoundResult } from "@magnolialock/maps";
import { VirtualGroup } from "../mapSwitch/virtualGroup.ts";

/** Figures of the map switches. */
export interface SwitchFigures {
    /** Number of steps in which ranks used different maps. */
    readonly mixedMapSteps: number;
    /** Number of completed switches. */
    readonly switches: number;
    /** 99th percentile of the time from proposal to the first step on the new map, in milliseconds. */
    readonly switchMsP99: number;
}

/** Longest virtual time of one switch, in milliseconds. */
const SWITCH_LIMIT_MS = 30_000;
const RETRY_MS = 200;

/** Group whose agents run the switches that a policy decides. */
export class SwitchRun implements AsyncDisposable {
    private readonly timesMs: number[] = [];

    private constructor(private readonly group: VirtualGroup, private readonly ranks: number) {}

    /**
     * Starts the agents of a group.
     *
     * @param map - initial map
     * @param random - source of random numbers
     * @returns the group, after its first step
     * @throws RangeError when the group does not complete its first step in time
     */
    public static async start(map: ExpertMap, random: RandomSource): Promise<SwitchRun> {
        const { ranks } = map.shape;
        const group = await VirtualGroup.start({ ranks, random, initialMap: encodeMap(map) });
        if (await group.runSteps(1, SWITCH_LIMIT_MS) === undefined) {
            throw new RangeError(`the group has not completed a step within ${SWITCH_LIMIT_MS} ms`);
        }
        return new SwitchRun(group, ranks);
    }

    /**
     * Switches the map. The agents take turns as coordinator.
     *
     * @param map - next map
     * @throws RangeError when the switch fails, or the group does not run a step with the map in time
     */
    public async change(map: ExpertMap): Promise<void> {
        const { group } = this;
        const encoded = encodeMap(map);
        const startMs = group.clock.nowMs();
        let result = await this.propose(encoded);
        while (result.kind === "failed") {
            if (group.clock.nowMs() - startMs > SWITCH_LIMIT_MS) {
                throw new RangeError(`the map switch failed: ${result.reason}`);
            }
            await group.clock.advance(RETRY_MS);
            result = await this.propose(encoded);
        }
        const isUsingMap = (): boolean =>
            group.lockStep.mapOfStep.get(group.lockStep.completedSteps - 1) === encoded.id;
        while (!isUsingMap()) {
            if (await group.runSteps(1, SWITCH_LIMIT_MS) === undefined) {
                throw new RangeError("the group has stopped completing steps");
            }
        }
        this.timesMs.push(group.clock.nowMs() - startMs);
    }

    private propose(map: EncodedMap): Promise<MapRoundResult> {
        return this.group.propose(this.timesMs.length % this.ranks, map, SWITCH_LIMIT_MS);
    }

    /** Figures of the switches so far. */
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
