import { bindService, createTcpNetwork } from "@magnolialock/kernel";
import { AgentService } from "@magnolialock/protocol";
import { freeAddress, RawCaller, settles } from "@magnolialock/test-support";
import test from "ava";
import { once } from "node:events";
import { connect as connectHttp2 } from "node:http2";

/** Widest flow-control window of HTTP/2, in bytes. */
const WIDEST_WINDOW_BYTES = 2 ** 31 - 1;
/** Length of a part, and their number: more than the socket buffers of both ends hold. */
const PART_LENGTH = 1024 * 1024;
const PARTS = 24;
/** A close takes less than this, also on a busy machine, in milliseconds. */
const CLOSE_MS = 3_000;
/** Envelope of an empty message of the Connect protocol. */
const EMPTY_MESSAGE = Buffer.alloc(5);

test("a peer that stops reading does not hold up the close of the control port", async t => {
    await using network = createTcpNetwork();
    const address = await freeAddress();
    const listener = await network.listen(address, [
        bindService(AgentService, {
            watchState: async function*() {
                for (let part = 0; part < PARTS; part++) {
                    yield { incarnation: "x".repeat(PART_LENGTH) };
                }
            },
        }),
    ]);
    using peer = await RawCaller.connect(address);
    const session = connectHttp2(`http://${address}`, {
        createConnection: () => peer.socket,
        settings: { initialWindowSize: WIDEST_WINDOW_BYTES },
    });
    session.on("error", () => {});
    await once(session, "remoteSettings");
    session.setLocalWindowSize(WIDEST_WINDOW_BYTES);
    const stream = session.request({
        ":method": "POST",
        ":path": `/${AgentService.typeName}/WatchState`,
        "content-type": "application/connect+proto",
    });
    stream.on("error", () => {});
    stream.end(EMPTY_MESSAGE);
    const [headers] = await once(stream, "response") as [Record<string, unknown>];
    t.is(headers[":status"], 200);
    peer.socket.pause();
    t.true(await settles(listener[Symbol.asyncDispose](), CLOSE_MS));
    session.destroy();
});
