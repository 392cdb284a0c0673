import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { ServerConnections } from "../serverConnections.ts";

test("a probe tells whether a server accepts connections, and one connection serves all who ask", async t => {
    let opened = 0;
    const server = createServer(socket => {
        opened++;
        socket.on("error", () => {});
        socket.resume();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    const target = `${address}:${port}` as Address;
    using connections = new ServerConnections(createSystemClock());
    const results = await Promise.all(Array.from({ length: 20 }, () => connections.probe(target)));
    t.true(results.every(result => result === "accepted"));
    t.is(opened, 1);
    server.close();
    await once(server, "close");
    t.is(await connections.probe(target), "refused");
});

// Guards against a server that looks alive although it was killed: what it accepted last is reset, or an earlier probe is shared.
test("a probe that is asked for while another one is under way opens a connection of its own", async t => {
    const server = createServer(socket => socket.on("error", () => {}).resume());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const target = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
    using connections = new ServerConnections(createSystemClock());
    const before = connections.probe(target);
    await once(server, "connection");
    server.close();
    t.deepEqual(await Promise.all([before, connections.probe(target)]), ["accepted", "refused"]);
});

test("a probe whose connection is reset at once asks again", async t => {
    const server = createServer(socket => {
        server.close();
        socket.resetAndDestroy();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    using connections = new ServerConnections(createSystemClock());
    t.is(
        await connections.probe(`127.0.0.1:${(server.address() as AddressInfo).port}` as Address),
        "refused",
    );
});
