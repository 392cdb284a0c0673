/**
 * Chooses the backend server of an attempt.
 *
 * @packageDocumentation
 */

import type { DataCentreId, RandomSource } from "@magnolialock/kernel";
import type { TrackedServer } from "./trackedServer.ts";

/** What the choice looks at besides the servers. */
export interface ChoiceContext {
    /** Data centre of this instance. */
    readonly dataCentre: DataCentreId;
    /** Source of random numbers, for ties. */
    readonly random: RandomSource;
    /** Most requests that this instance may start at one server within a second. */
    readonly maxStartsPerS: number;
    /** Servers that have been tried already. */
    readonly tried: ReadonlySet<TrackedServer>;
}

/**
 * Requests that a server of another data centre must run less before it is preferred. Without it half of the traffic
 * crosses data centres; a larger value leaves neighbours idle while local servers fill up.
 */
const REMOTE_PENALTY_REQUESTS = 1.5;
/** Latency below which servers count as equally fast, in milliseconds: differences there are chance. */
const LATENCY_FLOOR_MS = 30;

const costOf = (server: TrackedServer, context: ChoiceContext, isSpeedCompared: boolean): number => {
    const isRemote = server.entry.dataCentre !== context.dataCentre;
    const load = server.running + (isRemote ? REMOTE_PENALTY_REQUESTS : 0);
    const speed = isSpeedCompared ? Math.max(LATENCY_FLOOR_MS, server.latencyMs ?? 0) : 1;
    return (load + 1) * speed;
};

/**
 * Chooses the least costly server that may get another request now.
 *
 * @param candidates - servers of the service that take new work
 * @param context - place, earlier attempts and caps
 * @param isSpeedCompared - whether servers of the service differ in speed; ranks of a group do not
 * @returns the server; undefined when none may get the request
 */
export const chooseServer = (
    candidates: readonly TrackedServer[],
    context: ChoiceContext,
    isSpeedCompared: boolean,
): TrackedServer | undefined => {
    const eligible = candidates.filter(server =>
        !context.tried.has(server) && server.startRate.allows(context.maxStartsPerS)
    );
    const healthy = eligible.filter(server => !server.health.isEjected);
    let best: TrackedServer | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    let ties = 0;
    for (const server of healthy.length > 0 ? healthy : eligible) {
        const cost = costOf(server, context, isSpeedCompared);
        if (cost > bestCost) {
            continue;
        }
        // Of equally good servers one is drawn, so that instances do not all pick the first.
        ties = cost < bestCost ? 1 : ties + 1;
        if (ties === 1 || context.random.nextInt(1, ties) === 1) {
            best = server;
        }
        bestCost = cost;
    }
    return best;
};
