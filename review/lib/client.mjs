/** Stand-in of a client: a channel on which one request after the other is sent, and what came back. */

import { connect } from "node:net";

/** Reads one answer from the bytes of a channel; `end` is how the channel ended, if it did. */
const parseAnswer = (bytes, end) => {
    const headEnd = bytes.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return end ? { status: undefined, isComplete: false, end, body: "" } : undefined;
    }
    const [statusLine, ...lines] = bytes.toString("latin1", 0, headEnd).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const status = Number(statusLine.split(" ")[1]);
    const answer = { status, headers, end };
    const rest = bytes.subarray(headEnd + 4);
    if (headers["content-length"] !== undefined) {
        const length = Number(headers["content-length"]);
        const isComplete = rest.length >= length;
        return isComplete || end
            ? { ...answer, isComplete, body: rest.subarray(0, length), used: headEnd + 4 + length }
            : undefined;
    }
    if (headers["transfer-encoding"] === "chunked") {
        const parts = [];
        for (let at = 0;;) {
            const lineEnd = rest.indexOf("\r\n", at);
            const size = lineEnd < 0 ? Number.NaN : Number.parseInt(rest.toString("latin1", at, lineEnd), 16);
            const next = lineEnd + 2 + size + 2;
            if (Number.isNaN(size) || rest.length < next) {
                return end ? { ...answer, isComplete: false, body: Buffer.concat(parts) } : undefined;
            }
            if (size === 0) {
                return { ...answer, isComplete: true, body: Buffer.concat(parts), used: headEnd + 4 + next };
            }
            parts.push(rest.subarray(lineEnd + 2, lineEnd + 2 + size));
            at = next;
        }
    }
    // Neither a length nor chunks: the answer ends with its channel, and is complete unless that was reset.
    return end ? { ...answer, isComplete: end === "closed", body: rest } : undefined;
};

/** A channel of a client. */
export class Channel {
    bytes = Buffer.alloc(0);
    end = undefined;
    bytesPerS = undefined;

    constructor(socket) {
        this.socket = socket;
        socket.on("data", chunk => {
            if (this.bytesPerS !== undefined) {
                socket.pause();
                setTimeout(() => socket.resume(), chunk.length / this.bytesPerS * 1_000);
            }
            this.bytes = this.bytes.length === 0 ? chunk : Buffer.concat([this.bytes, chunk]);
            this.onChange?.();
        });
        socket.on("error", error => {
            this.end ??= error.code === "ECONNRESET" || error.code === "EPIPE" ? "reset" : error.code;
            this.onChange?.();
        });
        socket.on("end", () => {
            this.end ??= "closed";
            this.onChange?.();
        });
        socket.on("close", () => {
            this.end ??= "closed";
            this.onChange?.();
        });
    }

    static open(host, port) {
        return new Promise((resolve, reject) => {
            const socket = connect({ host, port, noDelay: true });
            socket.once("connect", () => resolve(new Channel(socket)));
            socket.once("error", reject);
        });
    }

    /** Reads steadily at this rate from now on, as over a slow link; undefined ends that. */
    readAt(bytesPerS) {
        this.bytesPerS = bytesPerS;
        if (bytesPerS === undefined) {
            this.socket.resume();
        }
    }

    /** Sends a request and resolves with its answer; the channel may be used again after a complete one. */
    send({ method = "POST", path, headers, body = "" }) {
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
        const length = method === "GET" ? "" : `Content-Length: ${Buffer.byteLength(body)}\r\n`;
        this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines}${length}\r\n${body}`);
        return this.answer();
    }

    answer() {
        return new Promise(resolve => {
            this.onChange = () => {
                const answer = parseAnswer(this.bytes, this.end);
                if (answer) {
                    this.onChange = undefined;
                    this.bytes = this.bytes.subarray(answer.used ?? this.bytes.length);
                    resolve(answer);
                }
            };
            this.onChange();
        });
    }

    close() {
        this.socket.destroy();
    }
}

export const describe = ({ body, end, headers, isComplete, status }) =>
    `status ${status ?? "none"}, ${isComplete ? "complete" : "not complete"}, ${
        body?.length ?? 0
    } bytes of body, `
    + `connection header ${headers?.connection ?? "none"}, channel ${end ?? "open"}`;
