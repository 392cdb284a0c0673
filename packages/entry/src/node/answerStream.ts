/**
 * Answers as byte streams: server-sent events for tokens, plain bytes otherwise.
 *
 * @packageDocumentation
 */

import { type AsyncQueue, MagnolialockError } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import type { AnswerEvent } from "../types/caller.ts";
import { failureBody } from "./failureResponse.ts";

/** The answer broke after its head; the connection is cut so that nobody takes it for whole. */
export const AnswerBrokenError = MagnolialockError.subclass("AnswerBrokenError");

/** Turns the events of one answer into bytes. */
interface AnswerEncoder {
    /** Encodes an event; undefined when it has no bytes. */
    encode(event: AnswerEvent): Uint8Array | undefined;
}

const textEncoder = new TextEncoder();
const MAX_EVENTS_PER_WRITE = 64;
const END_MARK = "data: [DONE]\n\n";

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
        }}]}\n\n${END_MARK}`;
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
    /** Whether the answer is a stream of tokens. */
    readonly isTokenStream: boolean;
    /** Events that follow the head; returning the queue cancels the request. */
    readonly events: AsyncQueue<AnswerEvent>;
}

/**
 * Streams an answer after its head. A token stream that fails ends with an error event and without its end mark; a
 * plain answer that fails breaks the connection.
 *
 * @param options - request and events
 * @returns the body of the response
 */
export const streamAnswer = (options: AnswerStreamOptions): ReadableStream<Uint8Array> => {
    const { events, requestId } = options;
    const encoder = options.isTokenStream ? createTokenEncoder(requestId) : createPlainEncoder();
    const encodeAll = (pieces: readonly AnswerEvent[]): Uint8Array => {
        const parts = pieces.flatMap(piece => encoder.encode(piece) ?? []);
        return parts.length === 1 ? parts[0] as Uint8Array : Buffer.concat(parts);
    };
    /** Reads until there are bytes; what has gathered meanwhile goes into one write. Undefined at the end. */
    const readBytes = async (): Promise<Uint8Array | undefined> => {
        for (let next = await events.next(); !next.done; next = await events.next()) {
            const bytes = encodeAll([next.value, ...events.takeWaiting(MAX_EVENTS_PER_WRITE)]);
            if (bytes.length > 0) {
                return bytes;
            }
        }
        return undefined;
    };
    return new ReadableStream<Uint8Array>({
        pull: async controller => {
            const bytes = await readBytes();
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
