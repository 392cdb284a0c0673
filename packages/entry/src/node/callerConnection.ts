/**
 * The connection of one caller: reading the body within a limit, and noticing that the caller is gone.
 *
 * @packageDocumentation
 */

import type { HttpBindings } from "@hono/node-server";
import type { Context } from "hono";

/** Bodies may be refused for their size. */
export type BodyResult =
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: "too-large"; };

const NO_BYTES = new Uint8Array();

/** The node server's own objects, where the application runs under it; making web objects of them is dear. */
const nodeBindings = (context: Context): HttpBindings | undefined => {
    const bindings = context.env as Partial<HttpBindings> | undefined;
    return bindings?.incoming && bindings.outgoing ? bindings as HttpBindings : undefined;
};

const readPieces = async (pieces: AsyncIterable<Uint8Array>, maxBytes: number): Promise<BodyResult> => {
    const parts: Uint8Array[] = [];
    let size = 0;
    for await (const part of pieces) {
        size += part.length;
        if (size > maxBytes) {
            return { kind: "too-large" };
        }
        parts.push(part);
    }
    return { kind: "body", bytes: parts.length === 1 ? parts[0] as Uint8Array : Buffer.concat(parts) };
};

/**
 * Reads the body of a request.
 *
 * @param context - the request
 * @param maxBytes - largest body, in bytes
 * @returns the body, or that it is too large
 */
export const readBody = (context: Context, maxBytes: number): Promise<BodyResult> => {
    const declaredBytes = Number(context.req.header("content-length") ?? 0);
    if (declaredBytes > maxBytes) {
        return Promise.resolve({ kind: "too-large" });
    }
    const bindings = nodeBindings(context);
    if (bindings) {
        return readPieces(bindings.incoming as AsyncIterable<Uint8Array>, maxBytes);
    }
    const { body } = context.req.raw;
    return body ? readPieces(body, maxBytes) : Promise.resolve({ kind: "body", bytes: NO_BYTES });
};

/**
 * Calls back when the caller goes away before its answer is complete.
 *
 * @param context - the request
 * @param callback - what to call
 */
export const onCallerGone = (context: Context, callback: () => void): void => {
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
