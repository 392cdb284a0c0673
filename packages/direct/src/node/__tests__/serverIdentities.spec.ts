import { type Address, createSystemClock } from "@magnolialock/kernel";
import test, { type ExecutionContext } from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { ServerIdentity } from "../../types/call.ts";
import { ServerIdentities } from "../serverIdentities.ts";

const clock = createSystemClock();

/** Asks a server that answers each request with the given bytes several times at once. */
const identify = async (
    t: ExecutionContext,
    answer: string,
): Promise<{ readonly results: readonly ServerIdentity[]; readonly requests: readonly string[]; }> => {
    const sockets = new Set<Socket>();
    const requests: string[] = [];
    const server = createServer(socket => {
        sockets.add(socket.on("error", () => {}));
        socket.once("data", bytes => {
            requests.push(bytes.toString().split("\r\n")[0] as string);
            socket.write(answer);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
    const identities = new ServerIdentities(clock);
    const asked = { address, healthPath: "/health", idHeader: "x-instance-id" };
    const results = await Promise.all(Array.from({ length: 5 }, () => identities.identify(asked)));
    return { results, requests };
};

const ANSWERS: Readonly<Record<string, readonly [answer: string, ServerIdentity]>> = {
    "200 and its identifier": [
        "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\ncontent-length: 0\r\n\r\n",
        { kind: "answered", id: "i-1" },
    ],
    "503 and its identifier": [
        "HTTP/1.1 503 Service Unavailable\r\nX-Instance-Id: i-1\r\ncontent-length: 0\r\n\r\n",
        { kind: "answered", id: "i-1" },
    ],
    "429 without an identifier": [
        "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n",
        { kind: "answered", id: undefined },
    ],
    "a part of a head": ["HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\n", { kind: "silent" }],
    "bytes that are no answer": ["SSH-2.0\r\n", { kind: "silent" }],
    "a body without end": [
        `HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\n\r\n${"x".repeat(100_000)}`,
        { kind: "answered", id: "i-1" },
    ],
    nothing: ["", { kind: "silent" }],
};

for (const [name, [answer, expected]] of Object.entries(ANSWERS)) {
    test(`a health check is answered with ${name}`, async t => {
        const startMs = clock.nowMs();
        const { requests, results } = await identify(t, answer);
        t.deepEqual(results, Array.from({ length: 5 }, () => expected));
        t.deepEqual(requests, ["GET /health HTTP/1.1"]);
        t.true(clock.nowMs() - startMs < 2_000);
    });
}
