import { type Address, createSystemClock } from "@magnolialock/kernel";
import test from "ava";
import { connect, type Socket } from "node:net";
import { NAMES } from "../../shared/__tests__/directFixture.ts";
import { responseHead, startEntry } from "./entryFixture.ts";
import { RawServer } from "./rawServer.ts";

const clock = createSystemClock();
/** Pause between what a server sends and the end of its connection, in milliseconds. */
const PAUSE_MS = 30;
const MAX_WAIT_MS = 3_000;
const RESET_ROUNDS = 5;

/** What a server sends after the head, and how it ends the connection. */
interface Answer {
    readonly body: string;
    /** A reset at once reaches the instance together with the last bytes. */
    readonly end: "close" | "reset" | "resetAtOnce" | "killed";
    readonly type?: "text/event-stream" | "text/plain";
}

const events = (from: number, to: number): string =>
    Array.from({ length: to - from + 1 }, (_, index) => `id: ${from + index}\ndata: x\n\n`).join("");

/** Server whose streams have neither a length nor chunks; it gives its answers in turn. */
class UnframedServer extends RawServer {
    /** Heads of the requests, oldest first. */
    public readonly requests: string[] = [];
    public constructor(private readonly answers: Answer[]) {
        super();
    }

    protected serve(socket: Socket): void {
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            if (received.endsWith("body")) {
                this.requests.push(received);
                this.answer(socket, received);
            }
        });
    }

    private answer(socket: Socket, received: string): void {
        const requestId = new RegExp(`${NAMES.requestId}: (\\S+)`, "i").exec(received)?.[1] ?? "";
        const { body, end, type = "text/event-stream" } = this.answers.shift() ?? { body: "", end: "reset" };
        const fields = `content-type: ${type}\r\nconnection: close\r\n`;
        if (end === "resetAtOnce") {
            socket.write(responseHead(requestId, fields) + body, () => socket.resetAndDestroy());
            return;
        }
        socket.write(responseHead(requestId, fields) + body);
        clock.setTimer(PAUSE_MS, () => {
            if (end === "killed") {
                this.endAsKilled();
            }
            else if (end === "reset") {
                socket.resetAndDestroy();
            }
            else {
                socket.end();
            }
        });
    }
}

interface Received {
    readonly head: string;
    readonly body: string;
    /** Whether the answer shows that its body is complete, by its length or its last chunk. */
    readonly isWhole: boolean;
}

/** Decodes a body with a length or in chunks; one that has neither never shows that it is complete. */
const decode = (text: string): Received => {
    const headEnd = text.indexOf("\r\n\r\n") + 4;
    const head = text.slice(0, headEnd);
    let rest = text.slice(headEnd);
    const length = /content-length: (\d+)/i.exec(head)?.[1];
    if (length !== undefined) {
        return { head, body: rest, isWhole: rest.length === Number(length) };
    }
    let body = "";
    for (let size = /^([\da-f]+)\r\n/.exec(rest); size; size = /^([\da-f]+)\r\n/.exec(rest)) {
        const bytes = Number.parseInt(size[1] as string, 16);
        if (bytes === 0) {
            return { head, body, isWhole: rest === "0\r\n\r\n" };
        }
        body += rest.slice(size[0].length, size[0].length + bytes);
        rest = rest.slice(size[0].length + bytes + 2);
    }
    return { head, body, isWhole: false };
};

/** Sends a request as a caller does, and reads until its connection ends. */
const ask = async (callers: Address, name: string): Promise<Received> => {
    const [host, port] = callers.split(":");
    const socket = connect(Number(port), host);
    let text = "";
    const ended = new Promise<void>(resolve => {
        socket.on("data", bytes => text += bytes.toString("latin1"));
        socket.on("error", () => {});
        socket.once("close", () => resolve());
        socket.setTimeout(MAX_WAIT_MS, () => resolve());
    });
    const fields = {
        host: "shop.example",
        [NAMES.requestId]: "r1",
        [NAMES.remainingMs]: "3000",
        [NAMES.apiKey]: "key-1",
        connection: "close",
    };
    const lines = Object.entries(fields).map(([field, value]) => `${field}: ${value}\r\n`).join("");
    socket.write(`POST /${name}/1 HTTP/1.1\r\n${lines}content-length: 4\r\n\r\nbody`);
    await ended;
    socket.destroy();
    return decode(text);
};

const askServers = async (name: string, ...answers: readonly Answer[]) => {
    const queue = [...answers];
    await using first = new UnframedServer(queue);
    await using second = new UnframedServer(queue);
    const { entry, callers } = await startEntry(await first.listen(), await second.listen());
    await using _entry = entry;
    const received = await ask(callers, name);
    return { received, requests: [...first.requests, ...second.requests] };
};

for (const name of ["stream", "once-stream"]) {
    test.serial(`a stream without a length that closes at the end of an event is complete: ${name}`, async t => {
        const { received, requests } = await askServers(name, { body: events(1, 3), end: "close" });
        t.is(received.body, events(1, 3));
        t.true(received.isWhole);
        t.is(requests.length, 1);
    });
}

for (
    const [kind, answer] of Object.entries(
        {
            "closes within an event": { body: `${events(1, 2)}id: 3\nda`, end: "close" },
            "is reset within an event": { body: `${events(1, 2)}id: 3\nda`, end: "reset" },
            "is reset at the end of an event": { body: events(1, 2), end: "reset" },
            "is reset with its last bytes": { body: events(1, 2), end: "resetAtOnce" },
        } as const satisfies Record<string, Answer>,
    )
) {
    test.serial(`a stream without a length that ${kind} is resumed`, async t => {
        const { received, requests } = await askServers("stream", answer, {
            body: events(3, 4),
            end: "close",
        });
        t.is(received.body, events(1, 4));
        t.true(received.isWhole);
        t.is(requests.length, 2);
        t.true(requests.some(text => /last-event-id: 2\r\n/i.test(text)));
    });

    test.serial(`a stream without a length that ${kind} and cannot be resumed looks broken`, async t => {
        const { received, requests } = await askServers("once-stream", answer);
        t.is(requests.length, 1);
        t.false(received.isWhole);
    });

    test.serial(`a stream without a length that ${kind} twice looks broken`, async t => {
        const { received } = await askServers("stream", answer, { body: "id: 3\n", end: "close" });
        t.false(received.isWhole);
        t.false(received.body.includes("id: 3"));
    });
}
for (const end of ["close", "reset"] as const) {
    test.serial(`a stream without a length that ends before its first event is no answer: ${end}`, async t => {
        const retried = await askServers("stream", { body: "", end }, { body: events(1, 2), end: "close" });
        t.is(retried.received.body, events(1, 2));
        const once = await askServers("once-stream", { body: "", end });
        t.regex(once.received.head, /^HTTP\/1.1 502 /);
    });
}

const PLAIN = { body: "the body", type: "text/plain" } as const;

// Guards against a reset that the runtime reports as the end of the data, since it came with the last bytes.
for (const end of ["reset", "resetAtOnce", "killed"] as const) {
    test.serial(`a plain answer without a length that breaks off looks complete: ${end}`, async t => {
        for (let round = 0; round < RESET_ROUNDS; round++) {
            const { received, requests } = await askServers("once", { ...PLAIN, end });
            t.regex(received.head, /^HTTP\/1.1 502 /);
            t.is(requests.length, 1);
        }
        const { received, requests } = await askServers("whole", { ...PLAIN, end }, {
            ...PLAIN,
            end: "close",
        });
        if (end === "killed") {
            // The request may be what ended the server, so it is not repeated.
            t.regex(received.head, /^HTTP\/1.1 502 /);
            return;
        }
        t.is(received.body, PLAIN.body);
        t.true(received.isWhole);
        t.is(requests.length, 2);
    });
}

test.serial("a plain answer without a length that closes is complete", async t => {
    for (let round = 0; round < RESET_ROUNDS; round++) {
        const { received, requests } = await askServers("once", { ...PLAIN, end: "close" });
        t.is(received.body, PLAIN.body);
        t.true(received.isWhole);
        t.is(requests.length, 1);
    }
});

// Guards against half of a stream that looks complete since the operating system closes the connection of a killed server.
test.serial("a stream without a length looks complete although its server was killed", async t => {
    const half = { body: events(1, 5), end: "killed" } as const;
    const resumed = await askServers("stream", half, { body: events(6, 7), end: "close" });
    t.is(resumed.received.body, events(1, 7));
    t.true(resumed.received.isWhole);
    const cut = await askServers("once-stream", half);
    t.is(cut.received.body, events(1, 5));
    t.false(cut.received.isWhole);
});
