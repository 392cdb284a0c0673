/** Stand-in of a sound replica: answers in full, with the request's identifier and a signature. */

import { createServer } from "node:http";
import { newHost, sleep } from "./platform.mjs";

/** How long an answer to a request takes and what it holds; a script chooses it by path. */
export class Replica {
    host = newHost();
    /** Requests that it began to work on, in order. */
    runs = [];

    /**
     * @param id - its instance_id
     * @param answer - sends the answer of a request that it runs
     * @param record - writes a line of the record
     * @param weights - version of its weights
     */
    constructor(id, answer, record, weights = "1") {
        this.weights = weights;
        this.id = id;
        this.answer = answer;
        this.record = record;
    }

    async listen() {
        this.server = createServer((request, response) => void this.handle(request, response));
        this.server.keepAliveTimeout = 10_000;
        await new Promise(resolve => this.server.listen(0, this.host, resolve));
        this.address = `${this.host}:${this.server.address().port}`;
        return this;
    }

    /** Its entry in the store. */
    entry(service, changes = {}) {
        return {
            service,
            address: this.address,
            zone: "zone-a",
            version: "1",
            slots: 12,
            state: "ready",
            cold_remaining_ms: 0,
            sequence: 1,
            born: Date.now(),
            ...changes,
        };
    }

    close() {
        this.server?.closeAllConnections();
        this.server?.close();
    }

    async handle(request, response) {
        response.sendDate = false;
        response.on("error", () => {});
        const id = String(request.headers["x-request-id"]);
        const chunks = [];
        try {
            for await (const chunk of request) {
                chunks.push(chunk);
            }
        }
        catch {
            return;
        }
        if ((request.headers["x-target-instance"] ?? this.id) !== this.id) {
            response.writeHead(421, { "x-instance-id": this.id }).end();
            return;
        }
        if ((request.headers["x-expected-version"] ?? this.weights) !== this.weights) {
            this.record(
                `replica ${this.id}: request ${id} is answered 421: the weights have version ${this.weights}`,
            );
            response.writeHead(421, {
                "x-request-id": id,
                "x-instance-id": this.id,
                "x-request-not-executed": "1",
                "x-weight-versions": this.weights,
            }).end();
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200, { "x-instance-id": this.id }).end();
            return;
        }
        const run = { id, path: request.url, headers: request.headers, atMs: Date.now(), isComplete: false };
        this.runs.push(run);
        const key = `replica ${this.id}: request ${id}`;
        this.record(`${key} begins, ${request.method} ${request.url}, tenant ${request.headers["x-tenant"]}`);
        response.once("close", () => {
            run.isComplete = response.writableFinished;
            this.record(`${key} ${run.isComplete ? "has its answer written in full" : "is cut off by its caller"}`);
        });
        await this.answer({ request, response, run, headers: this.headers(id), body: Buffer.concat(chunks) });
    }

    headers(id) {
        return {
            "x-request-id": id,
            "x-server-signature": `3e1b.${this.id}.${id}`,
            "x-weight-versions": this.weights,
        };
    }
}

/** Sends a stream of events with a pause before each. */
export const sendStream = async ({ headers, response }, { events, gapMs, isFramed = true }) => {
    if (!isFramed) {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
        ...headers,
        "content-type": "text/event-stream",
        ...isFramed ? {} : { connection: "close" },
    });
    for (let event = 1; event <= events; event++) {
        await sleep(gapMs);
        if (response.destroyed) {
            return;
        }
        response.write(`id: ${event}\ndata: piece ${event} of ${events}\n\n`);
    }
    response.end();
};
