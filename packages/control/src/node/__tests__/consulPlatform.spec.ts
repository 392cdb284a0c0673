import { type Address, branded } from "@magnolialock/kernel";
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
