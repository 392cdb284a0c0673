/**
 * A host that does not answer, not even the opening of a connection, as one without power or behind a partition: a listener
 * whose queue of connections is full and whose process does not take any.
 *
 * @packageDocumentation
 */

import { type Address, branded } from "@magnolialock/kernel";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { Worker } from "node:worker_threads";

/** A host that is silent until it returns. */
export interface SilentHost extends AsyncDisposable {
    readonly address: Address;
    /**
     * Answers from now on.
     *
     * @returns a promise that resolves once connections are accepted
     */
    return(): Promise<void>;
}

/** Options of {@link openSilentHost}. */
export interface SilentHostOptions {
    /** JSON with which each request is answered once the host has returned. */
    readonly body: unknown;
    /** Headers of these answers; the type of the content by default. */
    readonly headers?: Readonly<Record<string, string>>;
}

/** Connections that fill a queue of one. */
const FILLING_CONNECTIONS = 4;
const FILL_TIMEOUT_MS = 200;

const WORKER = `
const { createServer } = require("node:http");
const { parentPort, workerData } = require("node:worker_threads");
const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, { "content-type": "application/json", ...workerData.headers });
    response.end(workerData.body);
});
server.listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(workerData.gate, 0, 0);
    parentPort.postMessage("returned");
});
parentPort.on("message", () => { server.closeAllConnections(); server.close(); parentPort.close(); });
`;

/**
 * Opens a silent host on the loopback.
 *
 * @param options - what it answers once it has returned
 */
export const openSilentHost = async ({ body, headers = {} }: SilentHostOptions): Promise<SilentHost> => {
    const gate = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
    const worker = new Worker(WORKER, {
        eval: true,
        workerData: { gate, body: JSON.stringify(body), headers },
    });
    const port = await new Promise<number>(resolve => worker.once("message", resolve));
    const fillers: Socket[] = [];
    for (let index = 0; index < FILLING_CONNECTIONS; index++) {
        const socket = connect({ host: "127.0.0.1", port });
        socket.on("error", () => {});
        fillers.push(socket);
        await Promise.race([new Promise(resolve => socket.once("connect", resolve)), delay(FILL_TIMEOUT_MS)]);
    }
    const comeBack = async (): Promise<void> => {
        const returned = new Promise(resolve => worker.once("message", resolve));
        fillers.forEach(socket => socket.destroy());
        Atomics.store(gate, 0, 1);
        Atomics.notify(gate, 0);
        await returned;
    };
    return {
        address: branded<Address>(`127.0.0.1:${port}`),
        return: comeBack,
        [Symbol.asyncDispose]: async () => {
            fillers.forEach(socket => socket.destroy());
            await worker.terminate();
        },
    };
};
