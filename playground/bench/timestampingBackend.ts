/**
 * Backend server of the benchmark: streams tokens that carry the time at which they were sent.
 */

import { listenHttp } from "@magnolialock/entry";
import { parseAddress } from "@magnolialock/kernel";
import { Hono } from "hono";
import { createServer, type ServerResponse } from "node:http";

interface StreamRequest {
    readonly max_tokens: number;
    readonly interval_ms: number;
}

/** Wall-clock time with a resolution below a millisecond, in milliseconds. */
const preciseNowMs = (): number => performance.timeOrigin + performance.now();

const streamTokens = (response: ServerResponse, request: StreamRequest): void => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    let sent = 0;
    const timer = setInterval(() => {
        const text = preciseNowMs().toFixed(3);
        response.write(`data: {"choices":[{"index":0,"text":"${text} ","finish_reason":null}]}\n\n`);
        sent++;
        if (sent >= request.max_tokens) {
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
        request.on("data", piece => {
            body += piece;
        });
        request.on("end", () => streamTokens(response, JSON.parse(body) as StreamRequest));
    }).listen(port, host);
}
else {
    const app = new Hono();
    app.get("/load", context => context.json({ running: 0, waiting: 0, process_id: "short" }));
    app.all("*", context => context.text("done"));
    await listenHttp({ app, address: parseAddress(address), protocol: "http1" });
}
