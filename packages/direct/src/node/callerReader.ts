/**
 * Feeds the bytes of a caller to the HTTP parser in slices. It addresses callers whose bytes cost far more time than others:
 * one read of 64 KiB can hold thousands of requests or chunks, which the parser would hand out at once.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { Socket } from "node:net";

/** Smallest and largest slice, and that of a new connection, in bytes. */
const MIN_SLICE_BYTES = 1_024;
const FIRST_SLICE_BYTES = 4_096;
const MAX_SLICE_BYTES = 65_536;
/** Requests and chunks in one slice from which its bytes count as costly. */
const COSTLY_ITEMS = 16;
/** Time for costly slices without a pause, in milliseconds. */
const TURN_MS = 2;
/** Longest pause after such a time, as a multiple of it: costly bytes of several callers take a quarter of the time. */
const MAX_PAUSE_FACTOR = 3;

/** Turns that the connections of one process take with their costly bytes. */
export class ReadTurns {
    /** In the order of their turns. */
    private readonly waiting = new Set<() => void>();
    private spentMs = 0;
    private isScheduled = false;

    /** @param clock - source of time */
    public constructor(public readonly clock: Clock) {}

    /**
     * Waits for a turn.
     *
     * @param costMs - time that the bytes before took, in milliseconds
     * @param onTurn - called when it is the connection's turn
     */
    public wait(costMs: number, onTurn: () => void): void {
        this.spentMs += costMs;
        this.waiting.add(onTurn);
        this.schedule();
    }

    /**
     * Takes back a request for a turn.
     *
     * @param onTurn - what was to be called
     */
    public cancel(onTurn: () => void): void {
        this.waiting.delete(onTurn);
    }

    private schedule(): void {
        if (this.isScheduled) {
            return;
        }
        this.isScheduled = true;
        const next = (): void => {
            this.isScheduled = false;
            for (const onTurn of this.waiting) {
                this.waiting.delete(onTurn);
                onTurn();
                break;
            }
            if (this.waiting.size > 0) {
                this.schedule();
            }
        };
        if (this.spentMs < TURN_MS) {
            setImmediate(next);
            return;
        }
        const pauseMs = this.spentMs * Math.min(MAX_PAUSE_FACTOR, this.waiting.size);
        this.spentMs = 0;
        this.clock.setTimer(pauseMs, next);
    }
}

/** Reader of one connection. */
export class CallerReader {
    private readonly parse: (bytes: Buffer) => void;
    private sliceBytes = FIRST_SLICE_BYTES;
    private items = 0;
    private readonly clock: Clock;
    private waitsFor: "nothing" | "turn" | "room" = "nothing";
    private readonly onTurn = (): void => this.readOn();

    /**
     * @param socket - socket of a connection that an HTTP server has just taken over
     * @param turns - turns of the process
     * @param hasRoom - returns whether further requests of the connection may be read
     * @param mustPace - returns whether its bytes wait for turns although they are not costly
     */
    public constructor(
        private readonly socket: Socket,
        private readonly turns: ReadTurns,
        private readonly hasRoom: () => boolean,
        private readonly mustPace: () => boolean,
    ) {
        this.clock = turns.clock;
        const [listener] = socket.listeners("data") as ((bytes: Buffer) => void)[];
        this.parse = listener ?? (() => {});
        socket.removeAllListeners("data");
        // From here on the server no longer reads the connection past its listener.
        socket.on("data", (bytes: Buffer) => this.read(bytes));
        // A closed connection would keep its requests in memory until its turn.
        socket.once("close", () => turns.cancel(this.onTurn));
    }

    /** Records a request or a piece of a body that the parser has handed out. */
    public recordItem(): void {
        this.items++;
    }

    /** Reads on if it was waiting for room. */
    public recordRoom(): void {
        if (this.waitsFor === "room" && this.hasRoom()) {
            this.readOn();
        }
    }

    private readOn(): void {
        this.waitsFor = "nothing";
        this.socket.resume();
    }

    private read(bytes: Buffer): void {
        let rest = bytes;
        while (rest.length > 0 && !this.socket.destroyed) {
            if (this.waitsFor === "nothing" && !this.hasRoom()) {
                this.waitsFor = "room";
            }
            // The server resumes the connection when the reader of a body asks for more, and pauses it for unsent answers.
            if (this.waitsFor !== "nothing" || this.socket.isPaused()) {
                this.socket.pause();
                this.socket.unshift(rest);
                return;
            }
            const slice = rest.subarray(0, this.sliceBytes);
            rest = rest.subarray(this.sliceBytes);
            this.items = 0;
            const startMs = this.clock.nowMs();
            this.parse(slice);
            this.adapt(this.clock.nowMs() - startMs, rest.length === 0);
        }
    }

    private adapt(costMs: number, isLast: boolean): void {
        const isCostly = this.items > COSTLY_ITEMS;
        this.sliceBytes = isCostly ? MIN_SLICE_BYTES : Math.min(MAX_SLICE_BYTES, this.sliceBytes * 2);
        if (!isCostly && !this.mustPace() || this.socket.isPaused() || this.socket.destroyed) {
            return;
        }
        this.waitsFor = "turn";
        this.turns.wait(costMs, this.onTurn);
        if (isLast) {
            this.socket.pause();
        }
    }
}
