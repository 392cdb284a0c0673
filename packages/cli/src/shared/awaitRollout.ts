/**
 * Progress of a revision over a fleet.
 *
 * @packageDocumentation
 */

import { sleep } from "@magnolialock/kernel";
import { type FleetStatus, type FleetStatusOptions, readFleetStatus } from "./fleetStatus.ts";

/** How far a revision has come. */
export type RolloutState =
    | { readonly kind: "in force"; readonly revision: number; readonly count: number; }
    | { readonly kind: "rejected"; readonly status: FleetStatus; }
    | {
        readonly kind: "missing";
        readonly revision: number;
        readonly count: number;
        readonly missing: readonly string[];
    };

/** Options of {@link awaitRollout}. */
export interface AwaitRolloutOptions extends FleetStatusOptions {
    /** Revision to wait for; the newest that is known by default. */
    readonly revision?: number | undefined;
    /** Longest wait, in milliseconds; 0 looks once. */
    readonly waitMs: number;
    /** Called after each look. */
    readonly onProgress: (state: RolloutState) => void;
}

/** Time between two looks, in milliseconds. */
const LOOK_INTERVAL_MS = 500;

/**
 * Judges how far a revision has come.
 *
 * @param status - the fleet
 * @param wanted - revision to look for; the newest that is known by default
 * @returns whether it is in force on every live process, rejected, or who is missing
 */
export const judgeRollout = (status: FleetStatus, wanted?: number): RolloutState => {
    const newest = Math.max(status.revision, status.rejectedRevision);
    const revision = wanted ?? newest;
    if (status.rejectedRevision > 0 && status.rejectedRevision === revision) {
        return { kind: "rejected", status };
    }
    const missing = status.processes.filter(({ answer }) => !answer || Number(answer.revision) < revision);
    const count = status.processes.length - missing.length;
    return missing.length === 0 && count > 0 && revision > 0
        ? { kind: "in force", revision, count }
        : { kind: "missing", revision, count, missing: missing.map(({ instance }) => instance) };
};

/**
 * Looks at a fleet until a revision is in force everywhere, is rejected, or the time is over.
 *
 * @param options - where to look, what for and how long
 * @returns the last state
 */
export const awaitRollout = async (options: AwaitRolloutOptions): Promise<RolloutState> => {
    const { runtime, revision, waitMs, onProgress } = options;
    const endMs = runtime.clock.nowMs() + waitMs;
    for (;;) {
        const state = judgeRollout(await readFleetStatus(options), revision);
        onProgress(state);
        if (state.kind !== "missing" || runtime.clock.nowMs() >= endMs) {
            return state;
        }
        await sleep(runtime.clock, LOOK_INTERVAL_MS);
    }
};
