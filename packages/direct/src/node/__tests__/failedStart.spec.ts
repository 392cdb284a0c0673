/** Entries that cannot start because one of their addresses is in use. */

import { type Address, splitAddress } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { createServer, type Server } from "node:net";
import { freeSettings, startEntryWith } from "./entryFixture.ts";

const listen = async (address: Address): Promise<Server> => {
    const { host, port } = splitAddress(address);
    const server = createServer();
    server.listen(port, host);
    await once(server, "listening");
    return server;
};

for (const name of ["callers", "readiness", "peers"] as const) {
    // Guards against an entry that fails to start and goes on accepting callers on the addresses that it could bind.
    test.serial(`an entry that cannot listen on its address for ${name} releases the others`, async t => {
        const settings = await freeSettings();
        const taken = await listen(settings[name]);
        t.teardown(() => taken.close());
        await t.throwsAsync(startEntryWith(settings), { code: "EADDRINUSE" });
        for (const other of (["callers", "readiness", "peers"] as const).filter(other => other !== name)) {
            const server = await listen(settings[other]);
            server.close();
            await once(server, "close");
        }
    });
}
