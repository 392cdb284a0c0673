/**
 * Encodes answers as byte streams: server-sent events for tokens, plain bytes otherwise.
 *
 * @packageDocumentation
 */

import { type AsyncQueue, MagnolialockError } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import type { AnswerEvent } from "../types/caller.ts";
import { failureBody } from "./failureResponse.ts";

/** An answer failed after its head; the connection is broken so that the answer does not seem complete. */
export const AnswerBrokenError = MagnolialockError.subclass("AnswerBrokenError");

/** Encodes the events of one answer. */
interface AnswerEncoder {
    /** Encodes an event; returns undefined when the event produces no bytes. */
    encode(event: AnswerEvent): Uint8Array | undefined;
}

const textEncoder = new TextEncoder();
const MAX_EVENTS_PER_WRITE = 64;
const DONE_EVENT = "data: [DONE]\n\n";

const createTokenEncoder = (requestId: string): AnswerEncoder => {
    const id = JSON.stringify(requestId);
    let token = 0;
    const chunk = (text: string): string =>
        `data: {"id":${id},"object":"text_completion","token":${token++},"choices":[{"index":0,"text":${
            JSON.stringify(text)
        },"finish_reason":null}]}\n\n`;
    const end = (finishReason: string): string =>
        `data: {"id":${id},"object":"text_completion","choices":[{"index":0,"text":"","finish_reason":${
            JSON.stringify(finishReason)
        }}]}\n\n${DONE_EVENT}`;
    return {
        encode: event =>
            match(event)
                .with({ kind: "tokens" }, ({ texts }) => textEncoder.encode(texts.map(chunk).join("")))
                .with({ kind: "body" }, ({ bytes }) => bytes)
                .with({ kind: "end" }, ({ finishReason }) => textEncoder.encode(end(finishReason)))
                .with({ kind: "failed" }, ({ failure }) =>
                    textEncoder.encode(`event: error\ndata: ${failureBody(requestId, failure)}\n\n`))
                .with({ kind: "head" }, { kind: "ticket" }, () =>
                    undefined)
                .exhaustive(),
    };
};

const createPlainEncoder = (): AnswerEncoder => ({
    encode: event =>
        match(event)
            .with({ kind: "body" }, ({ bytes }) => bytes)
            .with({ kind: "tokens" }, ({ texts }) => textEncoder.encode(texts.join("")))
            .with({ kind: "failed" }, ({ failure }): undefined => {
                throw new AnswerBrokenError(failure.message);
            })
            .with({ kind: "head" }, { kind: "ticket" }, { kind: "end" }, () => undefined)
            .exhaustive(),
});

/** Options of {@link streamAnswer}. */
export interface AnswerStreamOptions {
    /** Identifier of the request. */
    readonly requestId: string;
    /** Whether the answer is a token stream. */
    readonly isTokenStream: boolean;
    /** Events after the head; calling `return()` on the queue cancels the request. */
    readonly events: AsyncQueue<AnswerEvent>;
    /** Called before the response body fails. */
    readonly onBroken: () => void;
}

/**
 * Streams an answer after its head. A token stream that fails ends with an error event and without the
 * `[DONE]` event; a plain answer that fails breaks the connection.
 *
 * @param options - request identifier, encoding and events
 * @returns the response body
 */
export const streamAnswer = (options: AnswerStreamOptions): ReadableStream<Uint8Array> => {
    const { events, onBroken, requestId } = options;
    const encoder = options.isTokenStream ? createTokenEncoder(requestId) : createPlainEncoder();
    const encodeAll = (batch: readonly AnswerEvent[]): Uint8Array => {
        const parts = batch.flatMap(event => encoder.encode(event) ?? []);
        return parts.length === 1 ? parts[0] as Uint8Array : Buffer.concat(parts);
    };
    /** Waits for an event with bytes and combines all queued events into one write; undefined at the end. */
    const readBytes = async (): Promise<Uint8Array | undefined> => {
        for (let next = await events.next(); !next.done; next = await events.next()) {
            const bytes = encodeAll([next.value, ...events.takeQueued(MAX_EVENTS_PER_WRITE)]);
            if (bytes.length > 0) {
                return bytes;
            }
        }
        return undefined;
    };
    return new ReadableStream<Uint8Array>({
        pull: async controller => {
            const bytes = await readBytes().catch((error: unknown) => {
                onBroken();
                throw error;
            });
            if (bytes === undefined) {
                controller.close();
                return;
            }
            controller.enqueue(bytes);
        },
        cancel: async () => {
            await events.return();
        },
    });
};
