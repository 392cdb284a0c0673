/**
 * Reads the body of a caller's request up to a limit.
 *
 * @packageDocumentation
 */

import type { CallerConnection } from "@magnolialock/entry/src/node/callers/callerConnection.ts";
import { BodyCollector } from "@magnolialock/entry/src/shared/callers/bodyCollector.ts";
import type { IncomingMessage } from "node:http";
import { setImmediate } from "node:timers/promises";

/** A body as it was read. */
export type RequestBody =
    | { readonly kind: "whole"; readonly bytes: Buffer; }
    /** Its rest is being dropped; `rest` resolves once that is done. */
    | { readonly kind: "tooLarge"; readonly rest: Promise<void>; }
    /** The caller closed its connection within the body. */
    | { readonly kind: "incomplete"; };

const NO_BYTES = Buffer.alloc(0);

/**
 * Tells whether a request has a body, by its head.
 *
 * @param request - the request
 */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;

/**
 * Returns the size of a body that a caller announced, in bytes; undefined if it did not.
 *
 * @param request - the request
 */
export const announcedBytes = ({ headers }: IncomingMessage): number | undefined =>
    headers["content-length"] === undefined ? undefined : Number(headers["content-length"]);

/** Reads the body of one request. */
export class RequestBodyReader {
    private allocatedBytes = 0;

    /**
     * @param request - the request
     * @param connection - its connection
     */
    public constructor(
        private readonly request: IncomingMessage,
        private readonly connection: CallerConnection,
    ) {}

    /** Memory that is counted for the body, in bytes. */
    public get heldBytes(): number {
        return this.allocatedBytes;
    }

    /**
     * Reads the body.
     *
     * @param maxBytes - largest body, in bytes
     */
    public async read(maxBytes: number): Promise<RequestBody> {
        if (!hasBody(this.request)) {
            return { kind: "whole", bytes: NO_BYTES };
        }
        return this.collect(announcedBytes(this.request), maxBytes);
    }

    /**
     * Reads the body and drops it; resolves once that is done.
     *
     * @param maxBytes - bytes that the caller may still send, beyond which it counts as flooding
     */
    public async drop(maxBytes: number): Promise<void> {
        this.connection.beginDrop();
        await this.dropRest(maxBytes);
        this.connection.endDrop();
    }

    private collect(announced: number | undefined, maxBytes: number): Promise<RequestBody> {
        const { connection, request } = this;
        const collector = new BodyCollector(announced, connection.segments, bytes => this.count(bytes));
        connection.addUnfinishedBodies(1);
        // A listener takes the pieces of one read at once; an iterator would queue them as objects.
        return new Promise(resolve => {
            const finish = (body: RequestBody): void => {
                request.off("data", onData);
                request.off("end", onEnd);
                request.off("close", onClose);
                connection.addUnfinishedBodies(-1);
                resolve(body);
            };
            const onData = (chunk: Buffer): void => {
                connection.recordBody(chunk.length);
                if (collector.bytes + chunk.length > maxBytes) {
                    collector.discard();
                    request.pause();
                    finish({ kind: "tooLarge", rest: this.drop(0) });
                    return;
                }
                collector.add(chunk);
            };
            const onEnd = (): void => finish({ kind: "whole", bytes: collector.take() });
            const onClose = (): void => {
                collector.discard();
                finish({ kind: "incomplete" });
            };
            request.on("data", onData);
            request.once("end", onEnd);
            request.once("close", onClose);
            request.on("error", () => {});
        });
    }

    private count(bytes: number): void {
        this.allocatedBytes += bytes;
        this.connection.addBody(bytes);
    }

    /**
     * Reads the rest of a body and drops it, or the caller would not come to read the answer. Other callers get a turn after
     * each piece. A body of tiny chunks is not read on: it costs far more time than its bytes.
     */
    private async dropRest(maxBytes: number): Promise<void> {
        const { connection, request } = this;
        let leftBytes = maxBytes;
        try {
            // The connection still carries the answer to a body that is too large.
            for await (const chunk of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
                connection.recordDropped(chunk.length, Math.min(chunk.length, leftBytes));
                leftBytes = Math.max(0, leftBytes - chunk.length);
                if (connection.isFramingHeavy(request.readableLength)) {
                    connection.destroy();
                    return;
                }
                await setImmediate();
            }
        }
        catch {
            // The caller has closed its connection within the body; its close is handled there.
        }
    }
}
