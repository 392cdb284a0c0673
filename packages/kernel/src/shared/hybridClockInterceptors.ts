/**
 * Interceptors that carry hybrid logical time on messages between processes, so that the time line lists
 * causes before effects.
 *
 * @packageDocumentation
 */

import type { DescMessage, Message } from "@bufbuild/protobuf";
import type { Interceptor } from "@connectrpc/connect";
import type { HybridClock } from "./hybridClock.ts";

/** Fields of the messages that carry a hybrid logical time. */
interface HybridTimeMessage extends Message {
    hybridWallMs: number;
    hybridCounter: number;
}

const carriesHybridTime = (schema: DescMessage, _message: Message): _message is HybridTimeMessage =>
    schema.field["hybridWallMs"] !== undefined && schema.field["hybridCounter"] !== undefined;

/**
 * Writes the current time of the sender into a message; a message without these fields is left unchanged.
 *
 * @param clock - clock of the sender
 * @param schema - description of the message
 * @param message - the message
 */
export const stampMessage = (clock: HybridClock, schema: DescMessage, message: Message): void => {
    if (carriesHybridTime(schema, message)) {
        const { wallMs, counter } = clock.tick();
        message.hybridWallMs = wallMs;
        message.hybridCounter = counter;
    }
};

/**
 * Advances the receiver's clock past the time in a message; a message without these fields has no effect.
 *
 * @param clock - clock of the receiver
 * @param schema - description of the message
 * @param message - the message
 */
export const observeMessage = (clock: HybridClock, schema: DescMessage, message: Message): void => {
    if (carriesHybridTime(schema, message)) {
        clock.observe({ wallMs: message.hybridWallMs, counter: message.hybridCounter });
    }
};

type MessageHandler = (clock: HybridClock, schema: DescMessage, message: Message) => void;

async function* tapMessages<T extends Message>(
    messages: AsyncIterable<T>,
    handler: (message: T) => void,
): AsyncGenerator<T> {
    for await (const message of messages) {
        handler(message);
        yield message;
    }
}

const createInterceptor = (
    clock: HybridClock,
    onRequest: MessageHandler,
    onResponse: MessageHandler,
): Interceptor =>
next =>
async request => {
    const { input, output } = request.method;
    const handleRequestMessage = (message: Message): void => onRequest(clock, input, message);
    if (!request.stream) {
        handleRequestMessage(request.message);
    }
    const response = await next(
        request.stream
            ? { ...request, message: tapMessages(request.message, handleRequestMessage) }
            : request,
    );
    const handleResponseMessage = (message: Message): void => onResponse(clock, output, message);
    if (response.stream) {
        return { ...response, message: tapMessages(response.message, handleResponseMessage) };
    }
    handleResponseMessage(response.message);
    return response;
};

/**
 * Creates the interceptor for calls to other processes; it stamps requests and reads the time of responses.
 *
 * @param clock - clock of this process
 * @returns the interceptor
 */
export const createClientClockInterceptor = (clock: HybridClock): Interceptor =>
    createInterceptor(clock, stampMessage, observeMessage);

/**
 * Creates the interceptor for calls from other processes; it reads the time of requests and stamps responses.
 *
 * @param clock - clock of this process
 * @returns the interceptor
 */
export const createServerClockInterceptor = (clock: HybridClock): Interceptor =>
    createInterceptor(clock, observeMessage, stampMessage);
