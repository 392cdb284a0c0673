/**
 * Decoding of the servers of a service that an entry names to the agents of its ranks.
 *
 * @packageDocumentation
 */

import type { ServiceServers } from "@magnolialock/direct/src/types/publishedState.ts";
import {
    type Address,
    type BackendServerId,
    branded,
    isReachableAddress,
    ProtocolError,
} from "@magnolialock/kernel";
import * as z from "zod/mini";

/** Largest number of sets, experts or places that is believed: plans take memory and time in proportion. */
const MAX_COUNT = 65_536;

const count = z.int().check(z.minimum(1), z.maximum(MAX_COUNT));
const listSchema = z.object({
    servers: z.array(z.unknown()),
    experts: z.optional(z.object({
        sets: count,
        experts: count,
        placesPerRank: count,
        newPerPreparation: z.int().check(z.nonnegative(), z.maximum(MAX_COUNT)),
        copyMs: z.number().check(z.nonnegative()),
    })),
});
const serverSchema = z.object({
    id: z.string().check(z.minLength(1)),
    address: z.string().check(z.refine(isReachableAddress)),
});

/**
 * Decodes the list. A server that cannot be read, or reached, costs only itself.
 *
 * @param json - answer of an entry
 * @throws ProtocolError if it is no list of servers, or the bounds of maps cannot be read
 */
export const decodeServiceServers = (json: unknown): ServiceServers => {
    const list = z.safeParse(listSchema, json);
    if (!list.success) {
        throw new ProtocolError(
            `the entry's list of servers cannot be read: ${list.error.issues[0]?.message}`,
        );
    }
    const { experts, servers } = list.data;
    return {
        servers: servers.flatMap(item => {
            const server = z.safeParse(serverSchema, item);
            return server.success
                ? [{
                    id: branded<BackendServerId>(server.data.id),
                    address: branded<Address>(server.data.address),
                }]
                : [];
        }),
        experts,
    };
};
