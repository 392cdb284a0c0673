/**
 * Finds the route of a request: the one with the request's host and the longest matching path prefix.
 *
 * @packageDocumentation
 */

import type { RandomSource, ServiceName } from "@magnolialock/kernel";
import type { RouteRule } from "../types/publishedState.ts";

/** Routes of one host. */
interface HostRoutes {
    /** Length of the longest prefix, in characters: no other part of a path has to be compared. */
    readonly longestPrefix: number;
    readonly prefixes: Map<string, RouteRule>;
}

/** Routes of one configuration, by host and prefix. */
export class RouteTable {
    private readonly hosts = new Map<string, HostRoutes>();

    /** @param routes - all routes; of two with the same host and prefix the later one applies */
    public constructor(routes: readonly RouteRule[]) {
        for (const route of routes) {
            const { longestPrefix, prefixes } = this.hosts.get(route.host)
                ?? { longestPrefix: 0, prefixes: new Map<string, RouteRule>() };
            prefixes.set(route.prefix, route);
            this.hosts.set(route.host, {
                longestPrefix: Math.max(longestPrefix, route.prefix.length),
                prefixes,
            });
        }
    }

    /**
     * Finds a route.
     *
     * @param host - value of the `Host` header
     * @param path - request path with query
     * @returns the route, or undefined
     */
    public find(host: string, path: string): RouteRule | undefined {
        const routes = this.hosts.get(hostWithoutPort(host));
        if (!routes) {
            return undefined;
        }
        const { longestPrefix, prefixes } = routes;
        const queryStart = path.indexOf("?");
        const pathEnd = queryStart < 0 ? path.length : queryStart;
        for (
            let slash = path.lastIndexOf("/", Math.min(pathEnd, longestPrefix) - 1);
            slash >= 0;
            slash = path.lastIndexOf("/", slash - 1)
        ) {
            const route = prefixes.get(path.slice(0, slash + 1));
            if (route) {
                return route;
            }
            if (slash === 0) {
                return undefined;
            }
        }
        return undefined;
    }
}

const hostWithoutPort = (host: string): string => {
    const colon = host.lastIndexOf(":");
    return (colon > 0 ? host.slice(0, colon) : host).toLowerCase();
};

/**
 * Selects the service of a request at random, by the weights of the route's targets.
 *
 * @param route - the route
 * @param random - source of random numbers
 * @returns the service; undefined if no target has a positive weight
 */
export const drawService = (route: RouteRule, random: RandomSource): ServiceName | undefined => {
    const targets = route.targets.filter(target => target.weight > 0);
    const totalWeight = targets.reduce((sum, target) => sum + target.weight, 0);
    let remainingWeight = random.nextFloat() * totalWeight;
    for (const target of targets) {
        remainingWeight -= target.weight;
        if (remainingWeight < 0) {
            return target.service;
        }
    }
    return targets.at(-1)?.service;
};
