/**
 * A crowd of clients over HTTP/2, in a thread of its own.
 *
 * @packageDocumentation
 */

import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** A crowd of like clients; each opens a session, begins its requests, and stays. */
export interface Http2Crowd {
    /** Number of clients. */
    readonly clients: number;
    /** Requests that each of them begins. */
    readonly requests: number;
    /** Header fields of each request. */
    readonly headers: Readonly<Record<string, string>>;
    /** Header lines added to each request, with names of their own for each client. */
    readonly lines?: number;
    /** Bytes of the body that are sent; the body does not end, unless there are none. */
    readonly bodyBytes: number;
    /** Whether a client that was closed connects again 100 ms later. */
    readonly returns?: boolean;
}

const CLIENTS = `
const { connect } = require("node:http2");
const { parentPort, workerData: { address, bodyBytes, clients, headers, lines, requests, returns } } =
    require("node:worker_threads");
let isEnding = false;
const sessions = new Set();
const body = Buffer.alloc(bodyBytes, "x");
const linesOf = client => Object.fromEntries(Array.from(
    { length: lines },
    (_, line) => ["x" + line.toString(36) + "-" + client.toString(36), "y" + line + "-" + client],
));
const join = client => {
    const session = connect("http://" + address);
    sessions.add(session);
    session.on("error", () => {});
    session.once("close", () => {
        sessions.delete(session);
        if (returns && !isEnding) {
            setTimeout(() => !isEnding && join(client), 100);
        }
    });
    const own = linesOf(client);
    for (let request = 0; request < requests; request++) {
        const stream = session.request({ ...headers, ...own }, { endStream: bodyBytes === 0 });
        stream.on("error", () => {});
        stream.resume();
        if (bodyBytes > 0) {
            stream.write(body);
        }
    }
};
for (let client = 0; client < clients; client++) {
    join(client);
}
parentPort.on("message", () => {
    isEnding = true;
    sessions.forEach(session => session.destroy());
    parentPort.postMessage("left");
});
parentPort.postMessage("started");
`;

/** A crowd that has begun to connect; disposing it closes its sessions. */
export class RunningHttp2Crowd implements AsyncDisposable {
    private hasLeft = false;

    private constructor(private readonly worker: Worker) {}

    /**
     * Starts a crowd.
     *
     * @param address - address of the listener
     * @param crowd - what the clients send
     */
    public static async start(address: string, crowd: Http2Crowd): Promise<RunningHttp2Crowd> {
        const workerData = { lines: 0, returns: false, ...crowd, address };
        const worker = new Worker(CLIENTS, { eval: true, execArgv: [], workerData });
        await once(worker, "message");
        return new RunningHttp2Crowd(worker);
    }

    /** Closes all sessions at once. */
    public async leave(): Promise<void> {
        this.hasLeft = true;
        this.worker.postMessage("leave");
        await once(this.worker, "message");
    }

    /** Closes all sessions and ends the thread. */
    public async [Symbol.asyncDispose](): Promise<void> {
        if (!this.hasLeft) {
            await this.leave();
        }
        await this.worker.terminate();
    }
}
