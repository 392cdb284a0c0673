import { type Address, branded } from "@magnolialock/kernel";
import { openSilentHost } from "@magnolialock/test-support";
import test from "ava";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createConsulPlatform } from "../consulPlatform.ts";

const FILLER = "x".repeat(65_536);
const GIVE_UP_MS = 3_000;
/** Growth of the memory of this process, which is the platform as well, in bytes. */
const MAX_GROWTH_BYTES = 100 * 1024 * 1024;

// Guards against an answer of the platform without end that ends the process for lack of memory.
test.serial("an answer of the platform without end is given up", async t => {
    const server = createServer((_request, response) => {
        const send = (): void => {
            while (!response.destroyed && response.write(FILLER)) {
                // Writes until the buffers are full.
            }
            response.once("drain", send);
        };
        send();
    }).listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => void server.close());
    const { port } = server.address() as AddressInfo;
    await using platform = createConsulPlatform({
        address: branded<Address>(`127.0.0.1:${port}`),
        key: "rules",
        service: "entry",
    });
    const startBytes = process.memoryUsage().rss;
    const signal = AbortSignal.timeout(2 * GIVE_UP_MS);
    await t.throwsAsync(platform.watchRules(undefined, 100, signal), { name: "BodyTooLargeError" });
    t.true(process.memoryUsage().rss - startBytes < MAX_GROWTH_BYTES);
});

// Guards against rules that come into force late since a read waits for a connection to a platform that was silent.
test.serial("a read of a silent platform goes on for longer than its wait and two seconds", async t => {
    await using host = await openSilentHost({
        body: [{ ModifyIndex: 1, Value: "e30=" }],
        headers: { "x-consul-index": "1" },
    });
    await using platform = createConsulPlatform({ address: host.address, key: "rules", service: "entry" });
    const startedMs = performance.now();
    await t.throwsAsync(platform.watchRules(undefined, 100, AbortSignal.timeout(20_000)));
    const elapsedMs = Math.round(performance.now() - startedMs);
    t.true(elapsedMs <= 100 + 2_000 + GIVE_UP_MS / 3, `${elapsedMs} ms`);
    await host.return();
    const published = await platform.watchRules(undefined, 100, AbortSignal.timeout(GIVE_UP_MS));
    t.is(Number(published?.revision), 1);
});
