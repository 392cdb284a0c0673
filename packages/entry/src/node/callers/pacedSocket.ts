/**
 * Socket whose bytes are read in turns with those of other connections. It addresses callers over HTTP/2: Node.js reads their
 * sockets past JavaScript and hands out all requests of a read at once.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { afterTasks, COSTLY_MS, type ReadTurns } from "./callerReader.ts";

/** Bytes that are handed out at a time. */
const SLICE_BYTES = 8_192;

/** Stream in place of a socket. */
export class PacedSocket extends Duplex {
    private rest: Buffer = Buffer.alloc(0);
    private isWaiting = false;
    private hasDemand = false;
    private hasEnded = false;
    private readonly onTurn = (): void => {
        this.isWaiting = false;
        this.handOut();
    };

    /**
     * @param socket - the socket, which nothing reads
     * @param turns - turns of the process
     * @param mustPace - tells whether its bytes take turns that go by their time
     */
    public constructor(
        private readonly socket: Socket,
        private readonly turns: ReadTurns,
        private readonly mustPace: () => boolean,
    ) {
        super({ allowHalfOpen: true, readableHighWaterMark: SLICE_BYTES });
        socket.on("data", (bytes: Buffer) => {
            socket.pause();
            this.rest = bytes;
            this.handOut();
        });
        socket.once("end", () => {
            this.hasEnded = true;
            this.handOut();
        });
        socket.once("close", () => {
            turns.cancel(this.onTurn);
            this.destroy();
        });
        socket.on("error", error => this.destroy(error));
        socket.pause();
    }

    public override _read(): void {
        this.hasDemand = true;
        this.handOut();
    }

    public override _write(bytes: Buffer, _encoding: BufferEncoding, onWritten: () => void): void {
        this.socket.write(bytes, onWritten);
    }

    public override _final(onEnded: () => void): void {
        this.socket.end(onEnded);
    }

    public override _destroy(...[error, onDestroyed]: Parameters<Duplex["_destroy"]>): void {
        this.socket.destroy();
        onDestroyed(error);
    }

    /** Hands out a slice of what was read, if it is wanted, or has more read. */
    private handOut(): void {
        if (!this.hasDemand || this.isWaiting || this.destroyed) {
            return;
        }
        if (this.rest.length === 0) {
            if (this.hasEnded) {
                // eslint-disable-next-line no-restricted-syntax -- how a stream of Node.js ends
                this.push(null);
            }
            else {
                this.socket.resume();
            }
            return;
        }
        const slice = this.rest.subarray(0, SLICE_BYTES);
        this.rest = this.rest.subarray(SLICE_BYTES);
        this.hasDemand = false;
        this.isWaiting = true;
        const { clock } = this.turns;
        const startMs = clock.nowMs();
        this.push(slice);
        this.turns.recordParsed(slice.length);
        afterTasks(() => {
            if (this.destroyed) {
                return;
            }
            const costMs = clock.nowMs() - startMs;
            if (this.mustPace() || costMs > COSTLY_MS && this.rest.length > 0) {
                this.turns.wait(costMs, this.onTurn);
            }
            else if (this.turns.isLoopTurnFull) {
                this.turns.wait(0, this.onTurn);
            }
            else {
                this.onTurn();
            }
        });
    }
}
