/**
 * What servers could have completed at best: a fluid model of the offered load and the capacity that remained.
 *
 * @packageDocumentation
 */

/** Time in which something holds, in milliseconds. */
export interface TimeSpan {
    /** Its start. */
    readonly fromMs: number;
    /** Its end. */
    readonly toMs: number;
}

/** Capacity of one server over time. */
export interface ServerCapacity {
    /** Data centre of the server. */
    readonly dataCentre: string;
    /** Requests per second when warm. */
    readonly warmPerS: number;
    /** Requests per second when cold. */
    readonly coldPerS: number;
    /** When it can do nothing. */
    readonly unavailable: readonly TimeSpan[];
    /** When it is cold at best. */
    readonly cold: readonly TimeSpan[];
}

/** One arrival. */
export interface Arrival {
    /** Data centre of the caller. */
    readonly dataCentre: string;
    /** When, in milliseconds. */
    readonly atMs: number;
}

/** Time in which a data centre has no links to the others. */
export interface Cut extends TimeSpan {
    /** The data centre. */
    readonly dataCentre: string;
}

/** Options of {@link potentialCompletions}. */
export interface PotentialOptions {
    /** Data centres. */
    readonly dataCentres: readonly string[];
    /** Servers of one service. */
    readonly servers: readonly ServerCapacity[];
    /** Requests of that service. */
    readonly arrivals: readonly Arrival[];
    /** Cuts between data centres. */
    readonly cuts: readonly Cut[];
    /** Longest time that a request may wait, in milliseconds. */
    readonly timeoutMs: number;
    /** Time to count completions in. */
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

/** Sets of data centres that reach each other. */
const componentsAt = ({ dataCentres, cuts }: PotentialOptions, atMs: number): string[][] => {
    const alone = dataCentres.filter(name =>
        isWithin(cuts.filter(({ dataCentre }) => dataCentre === name), atMs)
    );
    const together = dataCentres.filter(name => !alone.includes(name));
    return [together, ...alone.map(name => [name])].filter(component => component.length > 0);
};

const countArrivals = (arrivals: readonly Arrival[]): Map<string, number> => {
    const counts = new Map<string, number>();
    for (const { dataCentre, atMs } of arrivals) {
        const key = `${dataCentre} ${Math.floor(atMs / SLICE_MS)}`;
        counts.set(key, (counts.get(key) ?? 0) + 1);
    }
    return counts;
};

/** Serves what waits in one component during one slice. */
const serveSlice = (
    component: readonly string[],
    backlog: Map<string, number>,
    capacity: number,
    longestBacklog: number,
): number => {
    const waiting = component.reduce((sum, name) => sum + (backlog.get(name) ?? 0), 0);
    const served = Math.min(waiting, capacity);
    const kept = Math.min(waiting - served, longestBacklog);
    for (const name of component) {
        backlog.set(name, waiting === 0 ? 0 : (backlog.get(name) ?? 0) * kept / waiting);
    }
    return served;
};

/**
 * Computes how many requests the servers could have completed.
 *
 * @param options - servers, arrivals, cuts and the time to count in
 * @returns number of requests
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
        for (const component of componentsAt(options, atMs)) {
            const capacity = servers
                .filter(({ dataCentre }) => component.includes(dataCentre))
                .reduce((sum, server) => sum + capacityPerSlice(server, atMs), 0);
            const served = serveSlice(component, backlog, capacity, capacity * timeoutMs / SLICE_MS);
            completed += atMs >= window.fromMs ? served : 0;
        }
    }
    return completed;
};
