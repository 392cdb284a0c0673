/**
 * Calls to other processes of the fleet: the published state that another instance knows, and the group of a backend server, which
 * the rank agent beside it knows.
 *
 * @packageDocumentation
 */

import { type Address, ProtocolError, readBounded, splitAddress } from "@magnolialock/kernel";
import { decodeServerGroup } from "../shared/decodePeerAnswers.ts";
import type { ReadServerGroup } from "../shared/groupDirectory.ts";
import type { DirectSettings } from "../types/directSettings.ts";
import { SERVER_GROUP_PATH } from "../types/publishedState.ts";
import { createGetOnOwnConnection } from "./ownConnection.ts";

/** Path of the published state that an instance knows. */
export const STATE_PATH = "/state";
/** Largest published state, in bytes. */
const MAX_STATE_BYTES = 16 * 1024 * 1024;
/** Largest answer of a rank agent about its group, in bytes. */
const MAX_GROUP_BYTES = 4_096;
/** Time for opening a connection, in milliseconds; no call waits longer. */
const CONNECT_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;

const get = createGetOnOwnConnection({ timeoutMs: CONNECT_TIMEOUT_MS, maxBodyBytes: MAX_STATE_BYTES });

/**
 * Fetches the published state that another instance knows.
 *
 * @param peer - address of the instance
 * @param signal - cancels the call
 * @returns the state, not decoded
 */
export const fetchState = async (peer: Address, signal: AbortSignal): Promise<unknown> => {
    const response = await get(`http://${peer}${STATE_PATH}`, signal);
    return JSON.parse((await readBounded(response.body, MAX_STATE_BYTES)).toString());
};

/**
 * Creates the reader of groups: rank agents listen on the port that is the entries' for their peers.
 *
 * @param settings - settings of the process
 */
export const createServerGroupReader = ({ peers }: Pick<DirectSettings, "peers">): ReadServerGroup => {
    const { port } = splitAddress(peers);
    return async ({ address }, signal) => {
        const { host } = splitAddress(address);
        const response = await get(`http://${host}:${port}${SERVER_GROUP_PATH}`, signal);
        const body = await readBounded(response.body, MAX_GROUP_BYTES);
        if (response.statusCode !== HTTP_OK) {
            throw new ProtocolError(`the rank agent answered with status ${response.statusCode}`);
        }
        return decodeServerGroup(JSON.parse(body.toString()));
    };
};
