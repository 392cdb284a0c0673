/**
 * Reply to a caller on a response of Node's HTTP server.
 *
 * @packageDocumentation
 */

import type { ServerResponse } from "node:http";
import type { CallerReply, ResponseHead } from "../types/call.ts";

/** Statuses whose responses have neither a body nor a length. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Reply on a response of Node's HTTP server. */
export class HttpReply implements CallerReply {
    /** {@inheritDoc CallerReply.disconnected} */
    public readonly disconnected: AbortSignal;
    private readonly controller = new AbortController();
    private isFinished = false;

    /**
     * @param response - response of the HTTP server
     * @param mustClose - returns whether the connection is to be closed after the response
     * @param endWhole - writes the body of a whole response and ends it
     */
    public constructor(
        private readonly response: ServerResponse,
        private readonly mustClose: () => boolean,
        private readonly endWhole = (body: Buffer): void => void response.end(body),
    ) {
        this.disconnected = this.controller.signal;
        response.sendDate = false;
        response.once("close", () => {
            if (!this.isFinished) {
                this.controller.abort();
            }
        });
        // The caller disconnected during a write. The `close` event follows and aborts the request.
        response.on("error", () => {});
    }

    /** {@inheritDoc CallerReply.canStream} */
    public get canStream(): boolean {
        return this.response.useChunkedEncodingByDefault;
    }

    /** {@inheritDoc CallerReply.sendWhole} */
    public sendWhole(head: ResponseHead, body: Buffer): void {
        this.isFinished = true;
        const isBodiless = this.response.req.method === "HEAD" || BODILESS_STATUSES.has(head.status);
        const length = isBodiless ? {} : { "content-length": String(body.length) };
        this.writeHead({ ...head, headers: { ...head.headers, ...length } });
        this.endWhole(body);
    }

    /** {@inheritDoc CallerReply.startStream} */
    public startStream(head: ResponseHead): void {
        this.writeHead(head);
    }

    /** {@inheritDoc CallerReply.write} */
    public write(bytes: Buffer): boolean {
        return this.response.write(bytes);
    }

    /** {@inheritDoc CallerReply.onDrain} */
    public onDrain(listener: () => void): void {
        this.response.once("drain", listener);
    }

    /** {@inheritDoc CallerReply.end} */
    public end(): void {
        this.isFinished = true;
        this.response.end();
    }

    /** {@inheritDoc CallerReply.abort} */
    public abort(): void {
        this.isFinished = true;
        if (!this.response.chunkedEncoding) {
            // A normal close is how a response without chunks ends when it is complete.
            this.response.socket?.resetAndDestroy();
        }
        this.response.destroy();
    }

    /**
     * Writes the head. The body always gets a length or chunks, also if its server delimited it by the close of the
     * connection: the caller could not tell that from the close by the operating system when this process is killed.
     */
    private writeHead(head: ResponseHead): void {
        if (this.mustClose()) {
            this.response.setHeader("connection", "close");
        }
        this.response.writeHead(head.status, head.headers as Record<string, string | string[]>);
    }
}
