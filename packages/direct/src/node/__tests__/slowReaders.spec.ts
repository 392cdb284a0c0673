import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { responseHead, startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
const pause = (durationMs: number): Promise<void> =>
    new Promise(resolve => clock.setTimer(durationMs, () => resolve()));

/** Timeout of the route, in milliseconds. */
const TIMEOUT_MS = 1_500;
/** Time for the end of a request to show, in milliseconds. */
const END_SLACK_MS = 1_000;
/** Event that is larger than a write buffer, in bytes: the answer fills the buffers of all sockets. */
const EVENT_BYTES = 100_000;
const EVENTS = 200;

const FRAMINGS = {
    "a length": "content-length",
    chunks: "chunked",
    "neither a length nor chunks": "none",
} as const;
type Framing = typeof FRAMINGS[keyof typeof FRAMINGS];

/** Server whose streams are as large as the buffers of all sockets and more. */
class LargeServer extends RawServer {
    /** Connections on which a request came and that are still open. */
    public readonly open = new Set<Socket>();
    /** Times at which such connections closed, in milliseconds. */
    public readonly closedMs: number[] = [];
    public constructor(private readonly framing: Framing, private readonly isClosing: boolean) {
        super();
    }

    protected serve(socket: Socket): void {
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (!received.endsWith("body")) {
                return;
            }
            const requestId = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
            received = "";
            this.open.add(socket);
            socket.once("close", () => {
                this.open.delete(socket);
                this.closedMs.push(clock.nowMs());
            });
            this.answer(socket, requestId);
        });
    }

    private answer(socket: Socket, requestId: string): void {
        const events = Array.from(
            { length: EVENTS },
            (_, index) => `id: ${index + 1}\ndata: ${"x".repeat(EVENT_BYTES)}\n\n`,
        );
        const framings: Record<Framing, string> = {
            "content-length": `content-length: ${events.join("").length}\r\n`,
            chunked: "transfer-encoding: chunked\r\n",
            none: "",
        };
        const close = this.isClosing ? "connection: close\r\n" : "";
        const fields = `content-type: text/event-stream\r\n${framings[this.framing]}${close}`;
        socket.write(responseHead(requestId, fields));
        for (const event of events) {
            socket.write(this.framing === "chunked" ? `${event.length.toString(16)}\r\n${event}\r\n` : event);
        }
    }
}

const ask = async (callers: Address): Promise<Socket> => {
    const [host, port] = callers.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => {});
    await once(socket, "connect");
    const fields = {
        host: "shop.example",
        [NAMES.requestId]: "r1",
        [NAMES.remainingMs]: "5000",
        [NAMES.apiKey]: "key-1",
    };
    const lines = Object.entries(fields).map(([field, value]) => `${field}: ${value}\r\n`).join("");
    socket.write(`POST /once-stream/1 HTTP/1.1\r\n${lines}content-length: 4\r\n\r\nbody`);
    return socket;
};

for (const [name, framing] of Object.entries(FRAMINGS)) {
    for (const isClosing of [false, true]) {
        const ending = isClosing ? "that closes its connection" : "that keeps its connection";
        test(`a request of a slow reader never ends: an answer with ${name} ${ending}`, async t => {
            await using server = new LargeServer(framing, isClosing);
            const { callers, entry } = await startEntry(await server.listen());
            await using _entry = entry;
            const sentMs = clock.nowMs();
            const [silent, leaving] = [await ask(callers), await ask(callers)];
            await pause(TIMEOUT_MS / 2);
            t.is(server.open.size, 2);
            const leftMs = clock.nowMs();
            leaving.destroy();
            await pause(sentMs + TIMEOUT_MS + END_SLACK_MS / 2 - clock.nowMs());
            t.is(server.open.size, 0);
            const [firstMs, secondMs] = server.closedMs as [number, number];
            t.true(firstMs - leftMs <= END_SLACK_MS / 2, "the server of a caller that has left still works");
            t.true(secondMs - sentMs >= TIMEOUT_MS, "a request ends because another caller has left");
            let isClosed = false;
            silent.once("close", () => isClosed = true);
            silent.resume();
            await pause(END_SLACK_MS);
            t.true(isClosed, "the caller hears nothing of the end");
            const stopMs = clock.nowMs();
            await entry.stop();
            t.true(clock.nowMs() - stopMs < 5_000, "a request still counts as running");
        });
    }
}
