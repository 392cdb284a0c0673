/**
 * Callers on real sockets that send and read as a test tells them.
 *
 * @packageDocumentation
 */

import { type Address, createDeferred, createSystemClock, sleep } from "@magnolialock/kernel";
import { once } from "node:events";
import { connect, type Socket } from "node:net";

const clock = createSystemClock();
const POLL_MS = 5;
/** Length of the text that is kept, in characters. */
const KEPT_LENGTH = 4_000;

/**
 * Waits for a promise for a limited time.
 *
 * @param work - the promise
 * @param withinMs - the time, in milliseconds
 * @returns whether it was fulfilled in this time
 */
export const settles = async (work: PromiseLike<unknown>, withinMs: number): Promise<boolean> => {
    const end = new AbortController();
    const late = sleep(clock, withinMs, end.signal).then(() => false, () => true);
    const isInTime = await Promise.race([work.then(() => true), late]);
    end.abort();
    return isInTime;
};

/**
 * Waits until a condition holds.
 *
 * @param condition - the condition
 * @param withinMs - longest wait, in milliseconds
 * @returns whether it held in this time
 */
export const holds = async (
    condition: () => boolean | Promise<boolean>,
    withinMs: number,
): Promise<boolean> => {
    const endMs = clock.nowMs() + withinMs;
    while (!await condition()) {
        if (clock.nowMs() > endMs) {
            return false;
        }
        await sleep(clock, POLL_MS);
    }
    return true;
};

/** A caller's connection with the start of what it has received. */
export class RawCaller implements Disposable {
    /** Start of the received bytes. */
    public text = "";
    /** Number of received bytes. */
    public bytes = 0;
    /** Fulfilled when the connection has ended. */
    public readonly closed: Promise<void>;

    private constructor(
        /** The connection. */
        public readonly socket: Socket,
    ) {
        const closed = createDeferred<void>();
        this.closed = closed.promise;
        socket.on("error", () => {});
        socket.on("data", (chunk: Buffer) => {
            this.bytes += chunk.length;
            this.text = (this.text + chunk.toString("latin1")).slice(0, KEPT_LENGTH);
        });
        socket.on("close", () => closed.resolve());
    }

    /**
     * Opens a connection.
     *
     * @param address - address of the server
     * @returns the connection
     */
    public static async connect(address: Address): Promise<RawCaller> {
        const [host = "", port] = address.split(":");
        const socket = connect({ host, port: Number(port) });
        await once(socket, "connect");
        return new RawCaller(socket);
    }

    /**
     * Sends text.
     *
     * @param text - the text
     */
    public send(text: string): void {
        this.socket.write(text);
    }

    /**
     * Waits until a text is part of what was received.
     *
     * @param text - the text
     * @param withinMs - longest wait, in milliseconds
     * @returns whether it came in this time
     */
    public receives(text: string, withinMs: number): Promise<boolean> {
        return holds(() => this.text.includes(text), withinMs);
    }

    /** Closes the connection. */
    public [Symbol.dispose](): void {
        this.socket.destroy();
    }
}
