/**
 * A crowd of clients on raw sockets, in a thread of its own.
 *
 * @packageDocumentation
 */

import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** A crowd of like clients; each sends `start`, then `repeat` until it has sent `bytes`, and then stays. */
export interface Crowd {
    /** Number of clients. */
    readonly clients: number;
    /** What each of them sends first. */
    readonly start: string;
    /** Header lines that replace the word `LINES` of `start`, with names of their own for each client. */
    readonly lines?: number;
    /** What it sends again and again after that; nothing by default. */
    readonly repeat?: string;
    /** Bytes of repeats, at most; without end by default. */
    readonly bytes?: number;
    /** Whether a client that was closed connects again 100 ms later. */
    readonly returns?: boolean;
    /** Whether the clients read what they get. */
    readonly isReading?: boolean;
}

const CLIENTS = `
const { connect } = require("node:net");
const { parentPort, workerData: { bytes, clients, host, isReading, lines, port, repeat, returns, start } } =
    require("node:worker_threads");
let connected = 0;
let isEnding = false;
const sockets = new Set();
const nameOf = number => number.toString(36).padStart(5, "x");
const headOf = client => start.replace("LINES", () => Array.from(
    { length: lines },
    (_, line) => nameOf(line + client * 1000) + ": " + nameOf(line * 31 + client) + "\\r\\n",
).join(""));
const filler = Buffer.from(repeat);
const join = client => {
    let sent = 0;
    const socket = connect(port, host);
    sockets.add(socket);
    socket.on("error", () => {});
    socket[isReading ? "resume" : "pause"]();
    socket.once("close", () => {
        sockets.delete(socket);
        if (returns && !isEnding) {
            setTimeout(() => !isEnding && join(client), 100);
        }
    });
    socket.once("connect", () => {
        connected++;
        socket.write(headOf(client));
        const send = () => {
            while (!socket.destroyed && socket.writable && filler.length > 0 && sent + filler.length <= bytes) {
                sent += filler.length;
                if (!socket.write(filler)) {
                    socket.once("drain", send);
                    return;
                }
            }
        };
        send();
    });
};
for (let client = 0; client < clients; client++) {
    join(client);
}
parentPort.on("message", () => {
    isEnding = true;
    sockets.forEach(socket => socket.destroy());
    parentPort.postMessage(connected);
});
parentPort.postMessage("started");
`;

/** A crowd that has begun to connect; disposing it closes its connections. */
export class RunningCrowd implements AsyncDisposable {
    private hasLeft = false;

    private constructor(private readonly worker: Worker) {}

    /**
     * Starts a crowd.
     *
     * @param callers - address of the listener
     * @param crowd - what the clients send
     */
    public static async start(callers: string, crowd: Crowd): Promise<RunningCrowd> {
        const [host, port] = callers.split(":");
        const worker = new Worker(CLIENTS, {
            eval: true,
            execArgv: [],
            workerData: {
                repeat: "",
                bytes: Number.POSITIVE_INFINITY,
                lines: 0,
                isReading: true,
                ...crowd,
                host,
                port: Number(port),
            },
        });
        await once(worker, "message");
        return new RunningCrowd(worker);
    }

    /**
     * Closes all connections at once.
     *
     * @returns how many were opened
     */
    public async leave(): Promise<number> {
        this.hasLeft = true;
        this.worker.postMessage("leave");
        const [connected] = await once(this.worker, "message") as [number];
        return connected;
    }

    /** Closes all connections and ends the thread. */
    public async [Symbol.asyncDispose](): Promise<void> {
        if (!this.hasLeft) {
            await this.leave();
        }
        await this.worker.terminate();
    }
}
