/**
 * Backend server of the benchmark. As kind `stream` it streams tokens whose text is the time at which they
 * were sent; as kind `short` it answers every request at once.
 */

import { listenHttp } from "@magnolialock/entry";
import { parseAddress } from "@magnolialock/kernel";
import { Hono } from "hono";
import { createServer, type ServerResponse } from "node:http";

interface CompletionRequest {
    readonly max_tokens: number;
    readonly interval_ms: number;
}

/** Returns the wall-clock time with sub-millisecond resolution, in milliseconds. */
const preciseNowMs = (): number => performance.timeOrigin + performance.now();

const streamTokens = (response: ServerResponse, request: CompletionRequest): void => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    let sentTokens = 0;
    const timer = setInterval(() => {
        const sentAtMs = preciseNowMs().toFixed(3);
        response.write(`data: {"choices":[{"index":0,"text":"${sentAtMs} ","finish_reason":null}]}\n\n`);
        sentTokens++;
        if (sentTokens >= request.max_tokens) {
            clearInterval(timer);
            response.end(
                'data: {"choices":[{"index":0,"text":"","finish_reason":"length"}]}\n\ndata: [DONE]\n\n',
            );
        }
    }, request.interval_ms);
    response.on("close", () => clearInterval(timer));
};

const [address = "", kind = "stream"] = process.argv.slice(2);
const { host, port } = { host: address.split(":")[0], port: Number(address.split(":")[1]) };

if (kind === "stream") {
    createServer((request, response) => {
        if (request.url === "/load") {
            response.end(JSON.stringify({ running: 0, waiting: 0, process_id: "clocked" }));
            return;
        }
        let body = "";
        request.on("data", chunk => {
            body += chunk;
        });
        request.on("end", () => streamTokens(response, JSON.parse(body) as CompletionRequest));
    }).listen(port, host);
}
else {
    const app = new Hono();
    app.get("/load", context => context.json({ running: 0, waiting: 0, process_id: "short" }));
    app.all("*", context => context.text("done"));
    await listenHttp({ app, address: parseAddress(address), protocol: "http1" });
}
