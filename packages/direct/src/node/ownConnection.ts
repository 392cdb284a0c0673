/**
 * Rare calls to other processes, each on a connection of its own.
 *
 * @packageDocumentation
 */

import { createBoundedConnector, untilAborted } from "@magnolialock/kernel";
import { Agent, type Dispatcher, request } from "undici";

/** Sends a GET request; rejects once the signal is aborted. */
export type GetOnOwnConnection = (url: string, signal: AbortSignal) => Promise<Dispatcher.ResponseData>;

/**
 * Creates a function that sends each request over a connection of its own: an idle one may have gone silent, which only a
 * timeout would show, or belong to a process that has ended.
 *
 * @param limits - time for opening a connection, in milliseconds, and the largest body, in bytes
 */
export const createGetOnOwnConnection = (
    limits: Parameters<typeof createBoundedConnector>[0],
): GetOnOwnConnection => {
    const dispatcher = new Agent({ connect: createBoundedConnector(limits) });
    return (url, signal) => untilAborted(request(url, { signal, reset: true, dispatcher }), signal);
};
