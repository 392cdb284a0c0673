/** A backend server in a thread of its own that sends bytes without end at full speed, and what it sends. */

import type { Address } from "@magnolialock/kernel";
import { branded } from "@magnolialock/kernel";
import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** What a flooding server sends: once, then again and again until its connection is closed. */
export interface Flood {
    /** Fields of the head; undefined sends no head. */
    readonly fields?: string;
    readonly start?: string;
    readonly repeat: string;
    /** Whether each repetition is an event with the next identifier. */
    readonly isNumbered?: boolean;
}

/** Bytes that the server has handed to one connection, and whether that is still open. */
export interface FloodState {
    readonly mostSentBytes: number;
    readonly open: number;
}

const PROGRAM = `
const { createServer } = require("node:net");
const { parentPort, workerData: { flood, goodPath, head } } = require("node:worker_threads");
const state = { mostSentBytes: 0, open: 0 };
const headFor = (received, fields) => {
    const id = new RegExp((/(\\S+): ID/.exec(head) ?? [])[1] + ": (\\\\S+)", "i").exec(received);
    return head.replace("ID", id ? id[1] : "") + fields + "\\r\\n";
};
const start = (socket, received) => {
    let sent = 0;
    let number = 1;
    const next = () => {
        if (!flood.isNumbered) {
            return flood.repeat;
        }
        let text = "";
        for (let count = 0; count < 400; count++) {
            text += "id: " + number++ + "\\n" + flood.repeat;
        }
        return text;
    };
    state.open++;
    socket.once("close", () => state.open--);
    socket.write((flood.fields === undefined ? "" : headFor(received, flood.fields)) + (flood.start ?? ""));
    const send = () => {
        if (socket.destroyed || !socket.writable) {
            return;
        }
        const text = next();
        sent += text.length;
        state.mostSentBytes = Math.max(state.mostSentBytes, sent);
        // The proper answers come from this thread, too: they get a turn after each write.
        if (socket.write(text)) {
            setImmediate(send);
        } else {
            socket.once("drain", () => setImmediate(send));
        }
    };
    send();
};
const server = createServer(socket => {
    let received = "";
    socket.on("error", () => {});
    socket.on("data", bytes => {
        received += bytes.toString("latin1");
        const end = received.indexOf("\\r\\n\\r\\n");
        const length = Number((/content-length: (\\d+)/i.exec(received) ?? [])[1] ?? 0);
        if (end < 0 || received.length < end + 4 + length) {
            return;
        }
        if (received.includes(goodPath)) {
            socket.write(headFor(received, "content-length: 4\\r\\n") + "good");
        } else {
            start(socket, received);
        }
        received = "";
    });
});
server.listen(0, "127.0.0.1", () => parentPort.postMessage({ port: server.address().port }));
parentPort.on("message", () => parentPort.postMessage({ ...state }));
`;

/** A flooding server; disposing it ends its thread. */
export class FloodingServer implements AsyncDisposable {
    private constructor(private readonly worker: Worker, public readonly address: Address) {}

    /**
     * Starts a server that floods all requests but those for a path.
     *
     * @param flood - what it sends
     * @param head - status line and fields of every response, with `ID` for the identifier of the request
     * @param goodPath - path of the requests that it answers properly
     */
    public static async start(flood: Flood, head: string, goodPath: string): Promise<FloodingServer> {
        const worker = new Worker(PROGRAM, {
            eval: true,
            workerData: { flood, head, goodPath },
            execArgv: [],
        });
        const [{ port }] = await once(worker, "message") as [{ port: number; }];
        return new FloodingServer(worker, branded<Address>(`127.0.0.1:${port}`));
    }

    /** Reads what it has sent. */
    public async state(): Promise<FloodState> {
        this.worker.postMessage("state");
        const [state] = await once(this.worker, "message") as [FloodState];
        return state;
    }

    public async [Symbol.asyncDispose](): Promise<void> {
        await this.worker.terminate();
    }
}

const FILLER = "x".repeat(16_384);
const STREAM = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
const CHUNKED = "transfer-encoding: chunked\r\n";
const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Kinds of bytes without end, by what a faulty server takes them for. */
export const FLOODS: Readonly<Record<string, Flood>> = {
    "a status line": { start: "HTTP/1.1 200 ", repeat: FILLER },
    "head lines": { start: "HTTP/1.1 200 OK\r\n", repeat: `x-filler: ${FILLER}\r\n` },
    "a chunk size": { fields: CHUNKED, repeat: "0".repeat(16_384) },
    "a chunk extension": { fields: CHUNKED, start: "4;", repeat: FILLER },
    "chunk extensions": { fields: CHUNKED, repeat: `1;${FILLER}\r\nx\r\n` },
    trailers: { fields: CHUNKED, start: "0\r\n", repeat: `x-filler: ${FILLER}\r\n` },
    "a body": { fields: CHUNKED, repeat: chunkOf(FILLER) },
    "comments as events": { fields: STREAM, repeat: chunkOf(":\n\n".repeat(8_000)) },
    "comments as events, each in a chunk": { fields: STREAM, repeat: chunkOf(":\n\n").repeat(2_000) },
    "comments in one event": { fields: STREAM, repeat: chunkOf(":\n".repeat(8_000)) },
    "numbered events": {
        fields: "content-type: text/event-stream\r\n",
        repeat: "data: x\n\n",
        isNumbered: true,
    },
    "one line of an event": { fields: STREAM, start: chunkOf("data: "), repeat: chunkOf(FILLER) },
    "lines of one event": { fields: STREAM, repeat: chunkOf("data: x\n".repeat(2_000)) },
};
