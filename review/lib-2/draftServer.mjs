// Sound model server as a process of its own: streams events, with neither a length nor chunks, and ends with the connection.
// Arguments: identifier, number of events, milliseconds between events. Prints its port, then one line for each run.
import http from "node:http";
import { sleep } from "./harness.mjs";

const [id, eventsText, gapText, framing] = process.argv.slice(2);
const [events, gapMs] = [Number(eventsText), Number(gapText)];
/** Once it leaves, the replica says so in all its answers; the case says when, on standard input. */
let isLeaving = false;
process.stdin.once("data", () => isLeaving = true);
const server = http.createServer(async (request, response) => {
    for await (const _ of request) { /* the body */ }
    const requestId = request.headers["x-request-id"];
    const target = request.headers["x-target-instance"];
    if (target !== undefined && target !== id) {
        response.writeHead(421, { "x-instance-id": id, "content-length": "0" }).end();
        return;
    }
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    console.log(`run ${requestId} from ${first}`);
    response.useChunkedEncodingByDefault = framing === "chunks";
    response.writeHead(200, {
        "x-request-id": requestId, "x-server-signature": `sig-${id}-${requestId}`, "x-weight-versions": "1",
        "content-type": "text/event-stream", ...isLeaving && { "server-leaving": "1" }, ...framing !== "chunks" && { connection: "close" },
    });
    for (let event = first; event <= events && !response.destroyed; event++) {
        await sleep(gapMs);
        response.write(`id: ${event}\ndata: piece ${event}\n\n`);
    }
    response.end();
});
server.keepAliveTimeout = 10_000;
server.listen(0, "127.0.0.1", () => console.log(`port ${server.address().port}`));
