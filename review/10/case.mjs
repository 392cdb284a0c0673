// A client sends a booking with many short header lines, inside `max_header_bytes`. Does the server run what the client sent?
import net from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    conclude, configuration, entryProgram, eventually, hasTrouble, HOST, KEY, newId, Record, serverEntry, sleep, Store,
} from "../lib-2/harness.mjs";
import { OrdersServer } from "../lib-2/orders.mjs";

/** Short header lines of a booking; the whole head stays far below `max_header_bytes`, 16,384. */
const LINES = hasTrouble ? 1200 : 100;
const BOOKINGS = 20;

const record = new Record(dirname(fileURLToPath(import.meta.url)));
const store = new Store();
const servers = ["i-1", "i-2", "i-3"].map(id => new OrdersServer(id));
let entry;

/** Sends one booking on a connection of its own; resolves with the first line of the answer. */
const book = (id, body) =>
    new Promise(resolve => {
        const [host, port] = entry.settings.listen_addresses.frontend_address.split(":");
        const socket = net.connect(Number(port), host);
        let text = "";
        const head = `POST /book/2f HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: ${id}\r\nX-Request-Deadline: 1510\r\nX-Credential: ${KEY}\r\n`
            + Array.from({ length: LINES }, (_, index) => `C-${index}: 1\r\n`).join("")
            + `Content-Length: ${body.length}\r\n\r\n`;
        socket.on("error", () => {});
        socket.on("data", chunk => text += chunk);
        socket.write(head + body);
        setTimeout(() => {
            socket.destroy();
            resolve({ answer: text.split("\r\n")[0] || "no answer", headBytes: head.length });
        }, 600);
    });

await conclude(record, async () => {
    await entry?.stop();
    store.close();
    servers.forEach(server => server.close());
}, async () => {
    await store.listen();
    for (const server of servers) {
        await server.listen();
        store.put(`servers/${server.id}`, serverEntry("orders", server.address));
    }
    store.put("op/config", configuration(1));
    entry = await entryProgram({ store });
    entry.start();
    if (!await eventually(() => entry.isReady())) {
        return 2;
    }
    await sleep(1000);
    let changed = 0;
    let run = 0;
    for (let count = 0; count < BOOKINGS; count++) {
        const id = newId();
        const body = JSON.stringify({ stock: `springs-${count}`, amount: 40 });
        const { answer, headBytes } = await book(id, body);
        const runs = servers.flatMap(server => server.runs).filter(({ requestId }) => requestId === id);
        run += runs.length;
        const wrong = runs.filter(each => each.body !== body || each.path !== "/book/2f" || each.method !== "POST");
        changed += wrong.length;
        record.line(`booking ${id}: head of ${headBytes} bytes with ${LINES + 6} lines, body ${body}; answer ${answer}; `
            + `run with body ${JSON.stringify(runs.map(each => each.body))}${wrong.length > 0 ? " CHANGED" : ""}`);
    }
    record.say(`${BOOKINGS} bookings, ${run} runs, ${changed} with another body than the client sent`);
    return changed > 0 ? 1 : 0;
});
