/**
 * Selects the backend server for an attempt.
 *
 * @packageDocumentation
 */

import type { DataCentreId, RandomSource } from "@magnolialock/kernel";
import { spreadStart } from "./placement/spreadStarts.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** How requests are spread over servers whose engine has a known timing. */
export interface SpreadRule {
    /** Requests that other instances start between two of their reports. */
    readonly expectedStarts: number;
    /** Returns the load of a server beyond what it may run at once, in requests; negative while it has room. */
    readonly excessOf: (server: TrackedServer) => number;
}

/** Inputs of the selection besides the servers. */
export interface ChoiceContext {
    /** Data centre of this instance. */
    readonly dataCentre: DataCentreId;
    /** Source of random numbers, used to break ties. */
    readonly random: RandomSource;
    /** Returns how many requests this instance may start at a server per second. */
    readonly maxStartsPerS: (server: TrackedServer) => number;
    /** Tells whether the limit that a server names leaves room for a request of this instance. */
    readonly isWithinLimit: (server: TrackedServer) => boolean;
    /** Tells whether a request is due that shows whether the limit of a server still holds. */
    readonly isLimitCheckDue: (server: TrackedServer) => boolean;
    /** Servers that earlier attempts of this request used. */
    readonly tried: ReadonlySet<TrackedServer>;
    /** How requests are spread; undefined selects the least loaded server. */
    readonly spread: SpreadRule | undefined;
}

/**
 * Number of requests by which a server in another data centre must be less loaded before it is preferred.
 * Without this penalty half of the traffic crosses data centres; a larger value leaves remote servers idle
 * while local servers fill up.
 */
const REMOTE_PENALTY_REQUESTS = 1.5;
/** Latency below which servers count as equally fast, in milliseconds: differences there are noise. */
const LATENCY_FLOOR_MS = 30;

const costOf = (server: TrackedServer, context: ChoiceContext, isSpeedCompared: boolean): number => {
    const isRemote = server.entry.dataCentre !== context.dataCentre;
    const load = server.running + (isRemote ? REMOTE_PENALTY_REQUESTS : 0);
    const speed = isSpeedCompared ? Math.max(LATENCY_FLOOR_MS, server.latencyMs ?? 0) : 1;
    return (load + 1) * speed;
};

/**
 * Selects the server with the lowest cost among those that may get another request now, or spreads the requests.
 *
 * @param candidates - servers of the service that accept new requests
 * @param context - data centre, earlier attempts and rate limit
 * @param isSpeedCompared - whether latency counts; false for the ranks of a group, which are equally fast
 * @returns the server; undefined if none may get the request
 */
export const chooseServer = (
    candidates: readonly TrackedServer[],
    context: ChoiceContext,
    isSpeedCompared: boolean,
): TrackedServer | undefined => {
    const eligible = candidates.filter(server =>
        !context.tried.has(server) && server.startRate.allows(context.maxStartsPerS(server))
        && context.isWithinLimit(server)
    );
    const healthy = eligible.filter(server => !server.health.isEjected);
    // A rank that is missing stalls its whole group, so another attempt goes to another group if there is one.
    const triedGroups = new Set([...context.tried].map(({ groupName }) => groupName));
    const elsewhere = healthy.filter(({ groupName }) =>
        groupName !== undefined && !triedGroups.has(groupName)
    );
    const usual = elsewhere.length > 0 ? elsewhere : healthy;
    const due = usual.filter(context.isLimitCheckDue);
    const preferred = due.length > 0 ? due : usual;
    const selectable = preferred.length > 0 ? preferred : eligible;
    return context.spread
        ? chooseSpread(selectable, context, context.spread)
        : chooseCheapest(selectable, context, isSpeedCompared);
};

const chooseSpread = (
    servers: readonly TrackedServer[],
    { dataCentre, random }: ChoiceContext,
    { excessOf, expectedStarts }: SpreadRule,
): TrackedServer | undefined => {
    const loads = servers.map(server =>
        excessOf(server) + (server.entry.dataCentre === dataCentre ? 0 : REMOTE_PENALTY_REQUESTS)
    );
    const index = spreadStart(loads, expectedStarts, random);
    return index === undefined ? undefined : servers[index];
};

const chooseCheapest = (
    servers: readonly TrackedServer[],
    context: ChoiceContext,
    isSpeedCompared: boolean,
): TrackedServer | undefined => {
    let best: TrackedServer | undefined;
    let bestCost = Number.POSITIVE_INFINITY;
    let ties = 0;
    for (const server of servers) {
        const cost = costOf(server, context, isSpeedCompared);
        if (cost > bestCost) {
            continue;
        }
        // Ties are broken at random (reservoir sampling), so that instances do not all pick the first server.
        ties = cost < bestCost ? 1 : ties + 1;
        if (ties === 1 || context.random.nextInt(1, ties) === 1) {
            best = server;
        }
        bestCost = cost;
    }
    return best;
};
