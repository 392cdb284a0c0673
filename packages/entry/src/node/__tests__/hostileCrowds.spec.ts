/** Guards against crowds that nobody controls at the listeners of the own path. */

import { type Crowd, type Http2Crowd, RunningCrowd, RunningHttp2Crowd } from "@magnolialock/test-support";
import test from "ava";
import { checkOutlasts } from "./crowdCheck.ts";
import { KEY } from "./entryFleet.ts";

const FIELDS = `host: test\r\nauthorization: Bearer ${KEY}\r\n`;
const CHUNKED = `POST /painel/1 HTTP/1.1\r\n${FIELDS}transfer-encoding: chunked\r\n\r\n`;
const shortLines = Array.from({ length: 900 }, (_, line) => `x${line}: y${line}\r\n`).join("");
const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

const CROWDS: Readonly<Record<string, Crowd>> = {
    "requests sent ahead": {
        clients: 200,
        start: "",
        repeat: `GET /painel/1 HTTP/1.1\r\nhost: test\r\n\r\n`.repeat(500),
        isReading: false,
        returns: true,
    },
    "requests sent ahead with many short header lines": {
        clients: 200,
        start: "",
        repeat: `GET /painel/1 HTTP/1.1\r\nhost: test\r\n${shortLines}\r\n`.repeat(40),
        isReading: false,
        returns: true,
    },
    "chunks of one byte": { clients: 200, start: CHUNKED, repeat: chunk(1).repeat(1_000), returns: true },
    "chunks of 64 bytes": { clients: 200, start: CHUNKED, repeat: chunk(64).repeat(100), returns: true },
    "unfinished requests with 900 header lines": {
        clients: 500,
        start: `POST /painel/1 HTTP/1.1\r\n${FIELDS}LINEScontent-length: 2\r\n\r\na`,
        lines: 900,
    },
    "empty lines without end": { clients: 200, start: "", repeat: "\r\n".repeat(8_000), returns: true },
};

for (const [name, crowd] of Object.entries(CROWDS)) {
    test.serial(`an entry of the own path outlasts a crowd and answers others: ${name}`, t =>
        checkOutlasts(t, ({ listen }) => RunningCrowd.start(listen, crowd)));
}

const HTTP2_HEADERS = { ":method": "POST", ":path": "/painel/1", authorization: `Bearer ${KEY}` };

const HTTP2_CROWDS: Readonly<Record<string, Http2Crowd>> = {
    "bodies that stop short": {
        clients: 100,
        requests: 10,
        headers: HTTP2_HEADERS,
        bodyBytes: 1_000_000,
        returns: true,
    },
    "unfinished requests with 100 header lines": {
        clients: 300,
        requests: 100,
        headers: HTTP2_HEADERS,
        lines: 100,
        bodyBytes: 1,
    },
    "requests without a key": {
        clients: 200,
        requests: 100,
        headers: { ":method": "POST", ":path": "/painel/1" },
        lines: 100,
        bodyBytes: 0,
        returns: true,
    },
};

for (const [name, crowd] of Object.entries(HTTP2_CROWDS)) {
    test.serial(`an entry of the own path outlasts a crowd over HTTP/2 and answers others: ${name}`, t =>
        checkOutlasts(t, ({ listenHttp2 }) => RunningHttp2Crowd.start(listenHttp2, crowd)));
}
