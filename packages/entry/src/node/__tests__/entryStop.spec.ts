import { type Address, createSystemClock, ResourceScope, sleep } from "@magnolialock/kernel";
import { freeAddress, holds, ProgramProcess, RawCaller, settles } from "@magnolialock/test-support";
import test from "ava";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, get, type IncomingMessage, type ServerResponse } from "node:http";
import { connect as connectHttp2 } from "node:http2";
import { tmpdir } from "node:os";
import { join } from "node:path";

const NODE_DIRECTORY = join(import.meta.dirname, "..");
const ENTRY_MODULE = join(NODE_DIRECTORY, "entryMain.ts");
const AGENT_MODULE = join(NODE_DIRECTORY, "..", "..", "..", "agent", "src", "node", "agentMain.ts");
const KEY = "key-1";
const clock = createSystemClock();
/** Time for the programs to start on a busy machine, in milliseconds. */
const START_MS = 20_000;
/** Time for an answer on a busy machine, in milliseconds. */
const ANSWER_MS = 5_000;
/** A stop that has nothing to wait for takes less than this, also on a busy machine, in milliseconds. */
const QUICK_STOP_MS = 4_000;
/** More than the socket buffers of both ends hold, in bytes. */
const LARGE_BYTES = 24 * 1024 * 1024;
const PART_BYTES = 512 * 1024;
const PART_PAUSE_MS = 20;

/** Backend server that holds the responses to `/held…` and remembers what it has run. */
class HeldBackend {
    public readonly runs: string[] = [];
    public readonly finished: string[] = [];
    private readonly held: ServerResponse[] = [];

    public handle(request: IncomingMessage, response: ServerResponse): void {
        const { url = "" } = request;
        response.setHeader("x-request-id", request.headers["x-request-id"] ?? "");
        request.resume();
        if (url === "/load") {
            response.end('{"running":0,"waiting":0}');
            return;
        }
        this.runs.push(url);
        if (url.startsWith("/held")) {
            this.held.push(response);
            return;
        }
        if (url.startsWith("/large")) {
            void this.sendLarge(response);
            return;
        }
        response.end(`answer to ${url}`);
    }

    /** Sends parts with pauses, each well below the largest message between an agent and an entry. */
    private async sendLarge(response: ServerResponse): Promise<void> {
        response.setHeader("content-length", LARGE_BYTES);
        for (let sent = 0; sent < LARGE_BYTES; sent += PART_BYTES) {
            response.write(Buffer.alloc(PART_BYTES));
            await sleep(clock, PART_PAUSE_MS);
        }
        response.end();
        this.finished.push("/large");
    }

    public releaseAll(): void {
        this.held.splice(0).forEach(response => response.end("held answer"));
    }
}

const rulesText = (agent: Address): string =>
    [
        "data-centre recife region=nordeste # test",
        "service painel kind=plain deadline=20s warm-time=16ms # test",
        `server painel-1 service=painel data-centre=recife agent=${agent} cold=8 warm=16 # test`,
        `account loja-1 key=sha256:${
            createHash("sha256").update(KEY).digest("hex")
        } rate=100/s burst=100 weight=1 # test`,
        "call painel GET /* priority=status repeat=yes # test",
        "call painel POST /* priority=booking repeat=no # test",
        "",
    ].join("\n");

const requestText = (method: string, path: string, headers = ""): string =>
    `${method} /painel${path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ${KEY}\r\n${headers}\r\n`;

/** An entry and an agent as processes, before a backend server of the test. */
const startFleet = async (drainTimeoutMs: number) => {
    const scope = new ResourceScope();
    const [listen, listenHttp2, control, agentControl] = await Promise.all(
        Array.from({ length: 4 }, freeAddress),
    ) as [Address, Address, Address, Address];
    const backend = new HeldBackend();
    const server = createServer((request, response) => backend.handle(request, response));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    scope.defer(() => {
        server.close();
        server.closeAllConnections();
    });
    const folder = await mkdtemp(join(tmpdir(), "entry-stop-"));
    scope.defer(() => rm(folder, { recursive: true }));
    const rules = join(folder, "rules");
    await writeFile(rules, rulesText(agentControl));
    const { port } = server.address() as { readonly port: number; };
    const common = ["--data-centre", "recife", "--rules", rules];
    const agent = scope.use(ProgramProcess.start(AGENT_MODULE, [
        ...common,
        ...["--instance", "agent-1", "--control", agentControl],
        ...["--server", "painel-1", "--backend", `127.0.0.1:${port}`],
    ]));
    const entry = scope.use(ProgramProcess.start(ENTRY_MODULE, [
        ...common,
        ...["--instance", "entry-1", "--control", control, "--listen", listen],
        ...["--listen-http2", listenHttp2, "--drain-timeout-ms", String(drainTimeoutMs)],
    ]));
    const answers = async (): Promise<boolean> => {
        const headers = { authorization: `Bearer ${KEY}` };
        const response = await fetch(`http://${listen}/painel/ready`, { headers }).catch(() => undefined);
        await response?.text();
        return response?.status === 200;
    };
    if (!await holds(answers, START_MS)) {
        await scope[Symbol.asyncDispose]();
        throw new Error(`the fleet does not answer: ${entry.output} ${entry.errors} ${agent.errors}`);
    }
    return {
        listen,
        listenHttp2,
        backend,
        entry,
        isReady: () => fetch(`http://${listen}/readyz`).then(({ ok }) => ok, () => false),
        runsOf: (path: string) => backend.runs.filter(run => run === path).length,
        [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose](),
    };
};

test.serial("connections without a request do not hold up the stop of an entry", async t => {
    await using fleet = await startFleet(10_000);
    using idle = await RawCaller.connect(fleet.listen);
    idle.send(requestText("GET", "/quick"));
    t.true(await idle.receives("answer to /quick", ANSWER_MS));
    using silent = await RawCaller.connect(fleet.listen);
    using half = await RawCaller.connect(fleet.listen);
    half.send("GET /painel/quick HTTP/1.1\r\nHost: te");
    using silentHttp2 = await RawCaller.connect(fleet.listenHttp2);
    await sleep(clock, 100);
    fleet.entry.signal("SIGTERM");
    t.true(await settles(fleet.entry.exitCode(), QUICK_STOP_MS));
    t.is(await fleet.entry.exitCode(), 0);
    await Promise.all([idle.closed, silent.closed, half.closed, silentHttp2.closed]);
});

test.serial("a kept connection is not left open after a refusal by a stopping entry", async t => {
    await using fleet = await startFleet(10_000);
    using running = await RawCaller.connect(fleet.listen);
    running.send(requestText("POST", "/held/1", "Content-Length: 0\r\n"));
    t.true(await holds(() => fleet.runsOf("/held/1") === 1, ANSWER_MS));
    using kept = await RawCaller.connect(fleet.listen);
    kept.send(requestText("GET", "/quick"));
    t.true(await kept.receives("answer to /quick", ANSWER_MS));
    fleet.entry.signal("SIGTERM");
    t.true(await holds(async () => !await fleet.isReady(), ANSWER_MS));
    kept.send(requestText("POST", "/late", "Content-Length: 0\r\n"));
    t.true(await kept.receives("HTTP/1.1 503", ANSWER_MS));
    t.regex(kept.text, /x-ran: not run/);
    t.regex(kept.text, /connection: close\r\n/i);
    t.true(await settles(kept.closed, ANSWER_MS));
    fleet.backend.releaseAll();
    t.true(await running.receives("held answer", ANSWER_MS));
    t.regex(running.text, /connection: close\r\n/i);
    t.is(await fleet.entry.exitCode(), 0);
    t.is(fleet.runsOf("/late"), 0);
});

test.serial("a session of HTTP/2 is not kept by a stopping entry, and its running request is answered", async t => {
    await using fleet = await startFleet(10_000);
    const session = connectHttp2(`http://${fleet.listenHttp2}`);
    const goneAway = once(session, "goaway");
    const stream = session.request({
        ":method": "POST",
        ":path": "/painel/held/1",
        authorization: `Bearer ${KEY}`,
    });
    stream.setEncoding("utf8").end();
    t.true(await holds(() => fleet.runsOf("/held/1") === 1, ANSWER_MS));
    fleet.entry.signal("SIGTERM");
    t.true(await settles(goneAway, ANSWER_MS));
    fleet.backend.releaseAll();
    let text = "";
    for await (const chunk of stream as AsyncIterable<string>) {
        text += chunk;
    }
    t.is(text, "held answer");
    t.is(await fleet.entry.exitCode(), 0);
});

test.serial("an answer that its caller reads slowly is not cut off within the drain timeout of an entry", async t => {
    await using fleet = await startFleet(10_000);
    const headers = { authorization: `Bearer ${KEY}` };
    const [response] = await once(get(`http://${fleet.listen}/painel/large`, { headers }), "response") as [
        IncomingMessage,
    ];
    t.is(response.statusCode, 200);
    t.true(await holds(() => fleet.backend.finished.includes("/large"), ANSWER_MS));
    await sleep(clock, 500);
    fleet.entry.signal("SIGTERM");
    await sleep(clock, 3_000);
    let bytes = 0;
    response.on("error", () => {});
    response.on("data", (chunk: Buffer) => bytes += chunk.length);
    t.true(await settles(once(response, "close"), ANSWER_MS));
    t.true(response.complete);
    t.is(bytes, LARGE_BYTES);
    t.is(await fleet.entry.exitCode(), 0);
});

test.serial("a request that still runs at the drain timeout of an entry is not cut off without an answer", async t => {
    await using fleet = await startFleet(500);
    using caller = await RawCaller.connect(fleet.listen);
    caller.send(requestText("POST", "/held/1", "Content-Length: 0\r\n"));
    t.true(await holds(() => fleet.runsOf("/held/1") === 1, ANSWER_MS));
    fleet.entry.signal("SIGTERM");
    t.true(await settles(caller.closed, ANSWER_MS));
    t.regex(caller.text, /x-ran: outcome unknown/);
    t.is(await fleet.entry.exitCode(), 0);
});
