/**
 * Closes a connection without discarding what its peer has not received yet.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { Socket } from "node:net";

/**
 * Time after the last byte was sent for which a closing connection goes on reading, in milliseconds. The
 * operating system resets a connection that is closed with unread bytes, and discards what the peer has not
 * received yet.
 */
const LINGER_MS = 1_000;

/**
 * Closes a connection once what was written has left, and reads on for a while after that.
 *
 * @param socket - its socket
 * @param clock - source of time
 */
export const lingeringClose = (socket: Socket, clock: Clock): void => {
    socket.end(() => {
        if (!socket.destroyed) {
            const timer = clock.setTimer(LINGER_MS, () => socket.destroy());
            socket.once("close", () => timer.cancel());
        }
    });
};
