/** Guards against connections that are closed as flooding before their callers have read why a request is refused. */

import { splitAddress } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { connect } from "node:net";
import { startFleet } from "./entryFleet.ts";

const MAX_BODY_BYTES = 4_194_304;
const REFUSED =
    `POST /painel/1 HTTP/1.1\r\nhost: test\r\nauthorization: Bearer none\r\ncontent-length: ${MAX_BODY_BYTES}\r\n\r\n`
    + "b".repeat(MAX_BODY_BYTES);
const REQUESTS = 3;

test.serial("a caller of the own path that sends the largest bodies first reads why they are refused", async t => {
    await using fleet = await startFleet(10_000, ["--max-body-bytes", String(MAX_BODY_BYTES)]);
    const { host, port } = splitAddress(fleet.listen);
    const socket = connect(port, host).setEncoding("latin1");
    t.teardown(() => socket.destroy());
    socket.on("error", () => {});
    for (let request = 0; request < REQUESTS; request++) {
        let text = "";
        const onData = (data: string): string => text += data;
        const written = new Promise(resolve => socket.write(REFUSED, resolve));
        socket.on("data", onData);
        await written;
        while (!text.includes("HTTP/1.1 401 ") && !socket.closed) {
            await Promise.race([once(socket, "data"), once(socket, "close")]);
        }
        socket.off("data", onData);
        t.true(text.startsWith("HTTP/1.1 401 "), `${request}: ${text}`);
    }
});
