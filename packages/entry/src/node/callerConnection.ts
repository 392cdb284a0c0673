/**
 * Connection to a caller: reads the body up to a size limit, detects that the caller has disconnected, and breaks off an
 * answer.
 *
 * @packageDocumentation
 */

import type { HttpBindings } from "@hono/node-server";
import type { Context } from "hono";
import { IncomingMessage, ServerResponse } from "node:http";
import { BodyCollector } from "../shared/callers/bodyCollector.ts";
import { type CallerConnection, callerConnectionOf } from "./callers/callerConnection.ts";

/** Result of reading a request body. */
export type BodyResult =
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: "too-large"; };

const NO_BYTES = new Uint8Array();

/** Request and response of the Node.js server, if running on it; converting them to web objects is costly. */
const nodeBindings = (context: Context): HttpBindings | undefined => {
    const bindings = context.env as Partial<HttpBindings> | undefined;
    return bindings?.incoming && bindings.outgoing ? bindings as HttpBindings : undefined;
};

const readChunks = async (chunks: AsyncIterable<Uint8Array>, maxBytes: number): Promise<BodyResult> => {
    const received: Uint8Array[] = [];
    let size = 0;
    for await (const chunk of chunks) {
        size += chunk.length;
        if (size > maxBytes) {
            return { kind: "too-large" };
        }
        received.push(chunk);
    }
    return {
        kind: "body",
        bytes: received.length === 1 ? received[0] as Uint8Array : Buffer.concat(received),
    };
};

/** Reads a body whose memory counts for its connection until the response has ended. */
const readCounted = async (
    connection: CallerConnection,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    maxBytes: number,
): Promise<BodyResult> => {
    const { "content-length": length, "transfer-encoding": encoding } = incoming.headers;
    if (length === undefined && encoding === undefined) {
        return { kind: "body", bytes: NO_BYTES };
    }
    let heldBytes = 0;
    const announcedBytes = length === undefined ? undefined : Number(length);
    const collector = new BodyCollector(announcedBytes, connection.segments, bytes => {
        heldBytes += bytes;
        connection.addBody(bytes);
    });
    outgoing.once("close", () => connection.addBody(-heldBytes));
    connection.addUnfinishedBodies(1);
    let isWhole = false;
    try {
        for await (const chunk of incoming as AsyncIterable<Buffer>) {
            connection.recordBody(chunk.length);
            if (collector.bytes + chunk.length > maxBytes) {
                return { kind: "too-large" };
            }
            collector.add(chunk);
        }
        isWhole = true;
        return { kind: "body", bytes: collector.take() };
    }
    finally {
        if (!isWhole) {
            collector.discard();
        }
        connection.addUnfinishedBodies(-1);
    }
};

/**
 * Reads the body of a request up to a size limit.
 *
 * @param context - request context
 * @param maxBytes - largest accepted body, in bytes
 * @returns the body, or `too-large`
 */
export const readBody = (context: Context, maxBytes: number): Promise<BodyResult> => {
    const declaredBytes = Number(context.req.header("content-length") ?? 0);
    if (declaredBytes > maxBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    const bindings = nodeBindings(context);
    if (bindings) {
        const { incoming, outgoing } = bindings;
        const connection = incoming instanceof IncomingMessage
            ? callerConnectionOf(incoming.socket)
            : undefined;
        return connection
            ? readCounted(connection, incoming as IncomingMessage, outgoing as ServerResponse, maxBytes)
            : readChunks(incoming as AsyncIterable<Uint8Array>, maxBytes);
    }
    const { body } = context.req.raw;
    return body ? readChunks(body, maxBytes) : Promise.resolve({ kind: "body", bytes: NO_BYTES });
};

/**
 * Invokes a callback when the caller disconnects before the response is complete.
 *
 * @param context - request context
 * @param callback - function to invoke
 */
export const onCallerDisconnect = (context: Context, callback: () => void): void => {
    const bindings = nodeBindings(context);
    if (!bindings) {
        context.req.raw.signal.addEventListener("abort", callback, { once: true });
        return;
    }
    const { outgoing } = bindings;
    outgoing.once("close", () => {
        if (!outgoing.writableFinished) {
            callback();
        }
    });
};

/**
 * Tells whether the caller can tell the end of a body whose length is not known at its start. A caller of HTTP/1.0 knows no
 * chunks, and takes the close of the connection for the end, also when this process is killed.
 *
 * @param context - request context
 */
export const canDelimitBody = (context: Context): boolean => {
    const outgoing = nodeBindings(context)?.outgoing;
    return !(outgoing instanceof ServerResponse) || outgoing.useChunkedEncodingByDefault;
};

/**
 * Breaks off the response. To be called before the body of the response fails: while earlier bytes wait to be written, the
 * HTTP adapter ends a failed body with the text of the error and the last chunk, so that it looks complete.
 *
 * @param context - request context
 */
export const breakConnection = (context: Context): void => {
    const outgoing = nodeBindings(context)?.outgoing;
    if (outgoing instanceof ServerResponse) {
        // A normal close is how a response to an HTTP/1.0 caller ends when it is complete.
        outgoing.socket?.resetAndDestroy();
    }
    outgoing?.destroy(new Error("the answer broke"));
};
