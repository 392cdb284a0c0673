/** Test fixture: an entry and an agent of the own path as processes, before a backend server of the test. */

import { type Address, createSystemClock, ResourceScope, sleep } from "@magnolialock/kernel";
import { freeAddress, holds, ProgramProcess } from "@magnolialock/test-support";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

const NODE_DIRECTORY = join(import.meta.dirname, "..");
const ENTRY_MODULE = join(NODE_DIRECTORY, "entryMain.ts");
const AGENT_MODULE = join(NODE_DIRECTORY, "..", "..", "..", "agent", "src", "node", "agentMain.ts");
export const KEY = "key-1";
const clock = createSystemClock();
/** Time for the programs to start on a busy machine, in milliseconds. */
const START_MS = 20_000;
/** More than the socket buffers of both ends hold, in bytes. */
export const LARGE_BYTES = 24 * 1024 * 1024;
const PART_BYTES = 512 * 1024;
const PART_PAUSE_MS = 20;

/** Backend server that holds the responses to `/held…` and remembers what it has run. */
export class HeldBackend {
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

/** Text of a request with the key of the account. */
export const requestText = (method: string, path: string, headers = ""): string =>
    `${method} /painel${path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer ${KEY}\r\n${headers}\r\n`;

/**
 * Starts an entry and an agent as processes, before a backend server of the test.
 *
 * @param drainTimeoutMs - drain timeout of the entry, in milliseconds
 * @param entryFlags - further arguments of the entry
 * @param entryModule - main module of the entry, or the file it was built into
 */
export const startFleet = async (
    drainTimeoutMs: number,
    entryFlags: readonly string[] = [],
    entryModule = ENTRY_MODULE,
) => {
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
    const entry = scope.use(ProgramProcess.start(entryModule, [
        ...common,
        ...["--instance", "entry-1", "--control", control, "--listen", listen],
        ...["--listen-http2", listenHttp2, "--drain-timeout-ms", String(drainTimeoutMs)],
        ...entryFlags,
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
