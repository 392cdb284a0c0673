/**
 * Progress of rolling out a revision to a fleet.
 *
 * @packageDocumentation
 */

import { sleep } from "@magnolialock/kernel";
import { type FleetStatus, type FleetStatusOptions, readFleetStatus } from "./fleetStatus.ts";

/** Rollout state of a revision. */
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
    /** Revision to wait for; by default the newest known. */
    readonly revision?: number | undefined;
    /** Longest time to wait, in milliseconds; 0 checks once. */
    readonly waitMs: number;
    /** Called after each check. */
    readonly onProgress: (state: RolloutState) => void;
}

/** Interval between two checks, in milliseconds. */
const POLL_INTERVAL_MS = 500;

/**
 * Determines the rollout state of a revision.
 *
 * @param status - status of the fleet
 * @param targetRevision - revision to look for; by default the newest known
 * @returns whether the revision is in force on every live process, rejected, or missing on some processes
 */
export const evaluateRollout = (status: FleetStatus, targetRevision?: number): RolloutState => {
    const newest = Math.max(status.revision, status.rejectedRevision);
    const revision = targetRevision ?? newest;
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
 * Polls a fleet until a revision is in force on every process, is rejected, or the wait time has elapsed.
 *
 * @param options - processes to start from, revision and wait time
 * @returns the last state
 */
export const awaitRollout = async (options: AwaitRolloutOptions): Promise<RolloutState> => {
    const { runtime, revision, waitMs, onProgress } = options;
    const endMs = runtime.clock.nowMs() + waitMs;
    for (;;) {
        const state = evaluateRollout(await readFleetStatus(options), revision);
        onProgress(state);
        if (state.kind !== "missing" || runtime.clock.nowMs() >= endMs) {
            return state;
        }
        await sleep(runtime.clock, POLL_INTERVAL_MS);
    }
};
