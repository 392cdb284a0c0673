/**
 * Upper estimate of the completions that the servers could have reached: a fluid model of the offered load
 * and of the capacity that was left by the faults.
 *
 * @packageDocumentation
 */

/** Half-open time interval, in milliseconds. */
export interface TimeSpan {
    /** Start, included. */
    readonly fromMs: number;
    /** End, excluded. */
    readonly toMs: number;
}

/** Capacity of one server over time. */
export interface ServerCapacity {
    /** Data centre of the server. */
    readonly dataCentre: string;
    /** Requests per second that it completes when warm. */
    readonly warmPerS: number;
    /** Requests per second that it completes when cold. */
    readonly coldPerS: number;
    /** Intervals in which it completes nothing. */
    readonly unavailable: readonly TimeSpan[];
    /** Intervals in which it is cold even in the best case. */
    readonly cold: readonly TimeSpan[];
}

/** Arrival of one request. */
export interface Arrival {
    /** Data centre of the caller. */
    readonly dataCentre: string;
    /** Time of the arrival, in milliseconds. */
    readonly atMs: number;
}

/** Interval in which a data centre is partitioned from all others. */
export interface DataCentrePartition extends TimeSpan {
    /** Name of the data centre. */
    readonly dataCentre: string;
}

/** Options of {@link potentialCompletions}. */
export interface PotentialOptions {
    /** Names of all data centres. */
    readonly dataCentres: readonly string[];
    /** Servers of one service. */
    readonly servers: readonly ServerCapacity[];
    /** Arrivals of requests for that service. */
    readonly arrivals: readonly Arrival[];
    /** Network partitions between data centres. */
    readonly partitions: readonly DataCentrePartition[];
    /** Longest time that a request may wait in the backlog, in milliseconds. */
    readonly timeoutMs: number;
    /** Interval in which completions count. */
    readonly window: TimeSpan;
}

const SLICE_MS = 100;
const MS_PER_SECOND = 1_000;

const isWithin = (spans: readonly TimeSpan[], atMs: number): boolean =>
    spans.some(({ fromMs, toMs }) => fromMs <= atMs && atMs < toMs);

const capacityPerSlice = (server: ServerCapacity, atMs: number): number => {
    if (isWithin(server.unavailable, atMs)) {
        return 0;
    }
    const perS = isWithin(server.cold, atMs) ? server.coldPerS : server.warmPerS;
    return perS * SLICE_MS / MS_PER_SECOND;
};

/** Groups the data centres into those that can reach each other. */
const connectedComponentsAt = ({ dataCentres, partitions }: PotentialOptions, atMs: number): string[][] => {
    const isolated = dataCentres.filter(name =>
        isWithin(partitions.filter(({ dataCentre }) => dataCentre === name), atMs)
    );
    const connected = dataCentres.filter(name => !isolated.includes(name));
    return [connected, ...isolated.map(name => [name])].filter(component => component.length > 0);
};

const countArrivals = (arrivals: readonly Arrival[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { dataCentre, atMs } of arrivals) {
        const key = `${dataCentre} ${Math.floor(atMs / SLICE_MS)}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
};

/**
 * Serves the backlog of one connected component during one slice. Requests beyond the largest backlog that
 * can still be served in time are dropped, because they would time out.
 */
const serveSlice = (
    component: readonly string[],
    backlog: Map<string, number>,
    capacity: number,
    maxBacklog: number,
): number => {
    const waiting = component.reduce((sum, name) => sum + (backlog.get(name) ?? 0), 0);
    const served = Math.min(waiting, capacity);
    const remaining = Math.min(waiting - served, maxBacklog);
    for (const name of component) {
        backlog.set(name, waiting === 0 ? 0 : (backlog.get(name) ?? 0) * remaining / waiting);
    }
    return served;
};

/**
 * Computes how many requests the servers could have completed.
 *
 * @param options - servers, arrivals, partitions and the interval to count in
 * @returns number of requests, not rounded
 */
export const potentialCompletions = (options: PotentialOptions): number => {
    const { servers, window, timeoutMs } = options;
    const arrivals = countArrivals(options.arrivals);
    const backlog = new Map<string, number>();
    let completed = 0;
    for (let slice = 0; slice * SLICE_MS < window.toMs; slice++) {
        const atMs = slice * SLICE_MS;
        for (const name of options.dataCentres) {
            backlog.set(name, (backlog.get(name) ?? 0) + (arrivals.get(`${name} ${slice}`) ?? 0));
        }
        for (const component of connectedComponentsAt(options, atMs)) {
            const capacity = servers
                .filter(({ dataCentre }) => component.includes(dataCentre))
                .reduce((sum, server) => sum + capacityPerSlice(server, atMs), 0);
            const served = serveSlice(component, backlog, capacity, capacity * timeoutMs / SLICE_MS);
            completed += atMs >= window.fromMs ? served : 0;
        }
    }
    return completed;
};
