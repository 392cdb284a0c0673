import { type Address, branded, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { request } from "undici";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { startEntry } from "./entryFixture.ts";

const clock = createSystemClock();
const GRACE_MS = 3_000;
/** Time after the signal to stop at which a caller still sends a request that is passed on, in milliseconds. */
const SEND_AFTER_MS = 1_300;

test.serial("a request that its server does not answer until the entry stops gets an answer", async t => {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => {});
        socket.resume();
    }).listen(0, "127.0.0.1");
    t.teardown(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });
    await once(server, "listening");
    const address = branded<Address>(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const { callers, entry, settings } = await startEntry(address);
    entry.reload({ ...settings, bounds: { ...settings.bounds, graceMs: GRACE_MS } });
    const stopped = entry.stop();
    await new Promise(resolve => clock.setTimer(SEND_AFTER_MS, () => resolve(undefined)));
    const headers = {
        host: "shop.example",
        [NAMES.requestId]: "r1",
        [NAMES.remainingMs]: "3000",
        [NAMES.apiKey]: "key-1",
    };
    const answer = await request(`http://${callers}/once/1`, { method: "POST", body: "body", headers });
    await answer.body.text();
    t.is(answer.statusCode, 502);
    await stopped;
});
