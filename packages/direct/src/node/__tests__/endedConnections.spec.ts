/** Connections that end with their answer, and the request that follows at once. */

import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { UpstreamEnd } from "../../types/call.ts";
import { ServerConnections } from "../serverConnections.ts";

const ANSWERS = {
    "a length and Connection: close": "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
    "chunks and Connection: close":
        "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "neither a length nor chunks": "HTTP/1.1 200 OK\r\n\r\nok",
    "a length, over HTTP/1.0": "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
};
const REQUESTS = 50;

for (const [name, answer] of Object.entries(ANSWERS)) {
    // Guards against a request that is not sent, or refused, because its server has just ended the connection of another answer.
    test(`a request that follows an answer with ${name} at once is sent`, async t => {
        const sockets = new Set<Socket>();
        const server = createServer(socket => {
            sockets.add(socket.on("error", () => {}));
            socket.once("data", () => socket.end(answer));
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        t.teardown(() => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        });
        using connections = new ServerConnections(createSystemClock());
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
        const ask = (): Promise<UpstreamEnd> =>
            connections.start(
                "server-1",
                address,
                {
                    method: "GET",
                    path: "/",
                    headers: [],
                    body: Buffer.alloc(0),
                    maxIdleMs: Number.POSITIVE_INFINITY,
                    maxIdleConnections: () => 10,
                },
                { onHead: () => {}, onData: () => {} },
            ).ended;
        for (let request = 0; request < REQUESTS; request++) {
            t.deepEqual(await ask(), { kind: "complete" });
        }
    });
}
