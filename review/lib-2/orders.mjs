// Sound server of a plain service: runs a request, answers with its identifier, a signature and the whole body.
import http from "node:http";
import { sleep } from "./harness.mjs";

export class OrdersServer {
    runs = [];
    answered = new Set();
    constructor(id, { host = "127.0.0.1", workMs = 25, bodyBytes = 800 } = {}) {
        Object.assign(this, { id, host, workMs, bodyBytes });
        this.server = http.createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 10_000;
    }
    async listen() {
        await new Promise(resolve => this.server.listen(0, this.host, resolve));
        this.address = `${this.host}:${this.server.address().port}`;
    }
    bodyOf(requestId) {
        return `answer to ${requestId} `.padEnd(this.bodyBytes, "x");
    }
    async handle(request, response) {
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        const requestId = request.headers["x-request-id"];
        const target = request.headers["x-target-instance"];
        if (target !== undefined && target !== this.id) {
            response.writeHead(421, { "x-instance-id": this.id, "content-length": "0" }).end();
            return;
        }
        this.runs.push({ requestId, atMs: performance.now(), path: request.url, method: request.method, body: Buffer.concat(chunks).toString() });
        await sleep(this.workMs);
        if (response.destroyed) {
            return;
        }
        response.writeHead(200, {
            "x-request-id": requestId, "x-server-signature": `sig-${this.id}-${requestId}`,
            "content-length": String(this.bodyBytes),
        });
        response.end(this.bodyOf(requestId), () => this.answered.add(requestId));
    }
    close() {
        this.server.close();
        this.server.closeAllConnections();
    }
}
