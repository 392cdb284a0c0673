/**
 * Connection of a caller: serves one request after the other, counts the answers that have not left yet, and
 * closes without discarding them.
 *
 * @packageDocumentation
 */

import { lingeringClose } from "@magnolialock/entry/src/node/lingeringClose.ts";
import type { Clock } from "@magnolialock/kernel";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

const withResolvers = (): { readonly promise: Promise<void>; readonly resolve: () => void; } => {
    let resolve = (): void => {};
    const promise = new Promise<void>(onResolved => resolve = onResolved);
    return { promise, resolve };
};

/** One connection of a caller. */
export class CallerConnection {
    private openRequests = 0;
    private lastEnded: Promise<void> = Promise.resolve();
    private hasBegunClose = false;

    /**
     * @param socket - its socket
     * @param clock - source of time
     */
    public constructor(private readonly socket: Socket, private readonly clock: Clock) {
        // Node's HTTP server calls it after an answer with `Connection: close`.
        socket.destroySoon = () => this.close();
    }

    /** Number of requests whose head was read and whose answer has not left completely. */
    public get pending(): number {
        return this.openRequests;
    }

    /** Whether it is closing or closed: no further request on it gets an answer. */
    public get isClosing(): boolean {
        return this.hasBegunClose || this.socket.destroyed;
    }

    /**
     * Counts a request until all bytes of its answer have left, or the connection has ended, and waits for its turn.
     * Node's HTTP server hands out pipelined requests at once, also those behind an answer that closes the
     * connection.
     *
     * @param response - response to the request
     * @param onEnd - called when the request no longer counts, with whether all bytes of an answer have left
     * @returns whether the request may be served: all answers before it have left, and the connection is open
     */
    public async takeTurn(response: ServerResponse, onEnd: (hasLeft: boolean) => void): Promise<boolean> {
        this.openRequests++;
        const previousEnded = this.lastEnded;
        const { promise, resolve } = withResolvers();
        this.lastEnded = promise;
        const end = (): void => {
            response.off("finish", end);
            response.off("close", end);
            this.openRequests--;
            resolve();
            // Node.js also emits `finish` when the socket was destroyed before the last write.
            onEnd(response.writableEnded && !this.socket.destroyed);
        };
        response.once("finish", end);
        response.once("close", end);
        await previousEnded;
        if (this.isClosing) {
            end();
            return false;
        }
        return true;
    }

    /** Closes the connection once what was written has left, and reads on for a while after that. */
    public close(): void {
        if (this.isClosing) {
            return;
        }
        this.hasBegunClose = true;
        lingeringClose(this.socket, this.clock);
    }

    /** Closes the connection at once; bytes that have not left are lost. */
    public destroy(): void {
        this.socket.destroy();
    }
}
