/**
 * Connection to a caller: reads the body up to a size limit, detects that the caller has disconnected, and breaks off an
 * answer.
 *
 * @packageDocumentation
 */

import type { Http2Bindings, HttpBindings } from "@hono/node-server";
import type { Context } from "hono";
import { IncomingMessage, ServerResponse } from "node:http";
import { BodyCollector } from "../shared/callers/bodyCollector.ts";
import type { BodyAccount } from "./callers/bodyAccount.ts";
import { callerConnectionOf } from "./callers/callerConnection.ts";
import { bodyAccountOfSession } from "./callers/http2Callers.ts";

/** Result of reading a request body. */
export type BodyResult =
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: "too-large"; };

const NO_BYTES = new Uint8Array();

/** Request and response of a Node.js server. */
type NodeBindings = HttpBindings | Http2Bindings;

/** Request and response of the Node.js server, if running on it; converting them to web objects is costly. */
const nodeBindings = (context: Context): NodeBindings | undefined => {
    const bindings = context.env as Partial<NodeBindings> | undefined;
    return bindings?.incoming && bindings.outgoing ? bindings as NodeBindings : undefined;
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

/** Whether a request has no body, by its head. */
const hasNoBody = (incoming: NodeBindings["incoming"]): boolean =>
    incoming instanceof IncomingMessage
        ? incoming.headers["content-length"] === undefined
            && incoming.headers["transfer-encoding"] === undefined
        : incoming.stream.endAfterHeaders;

/** Reads a body whose memory counts for its connection until the response has ended. */
const readCounted = async (
    connection: BodyAccount,
    { incoming, outgoing }: NodeBindings,
    maxBytes: number,
): Promise<BodyResult> => {
    if (hasNoBody(incoming)) {
        return { kind: "body", bytes: NO_BYTES };
    }
    const length = incoming.headers["content-length"];
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
        const { incoming } = bindings;
        const connection = incoming instanceof IncomingMessage
            ? callerConnectionOf(incoming.socket)
            : bodyAccountOfSession(incoming.stream.session);
        return connection
            ? readCounted(connection, bindings, maxBytes)
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
