/**
 * Hybrid time on messages between processes, so that the time line keeps causes before effects.
 *
 * @packageDocumentation
 */

import type { DescMessage, Message } from "@bufbuild/protobuf";
import type { Interceptor } from "@connectrpc/connect";
import type { HybridClock } from "./hybridClock.ts";

/** Fields of the messages that carry a time. */
interface StampedMessage extends Message {
    hybridWallMs: number;
    hybridCounter: number;
}

const isStamped = (schema: DescMessage, _message: Message): _message is StampedMessage =>
    schema.field["hybridWallMs"] !== undefined && schema.field["hybridCounter"] !== undefined;

/**
 * Writes the time of sending into a message; messages without the fields stay as they are.
 *
 * @param clock - clock of the sender
 * @param schema - description of the message
 * @param message - the message
 */
export const stampMessage = (clock: HybridClock, schema: DescMessage, message: Message): void => {
    if (isStamped(schema, message)) {
        const { wallMs, counter } = clock.tick();
        message.hybridWallMs = wallMs;
        message.hybridCounter = counter;
    }
};

/**
 * Advances the receiver's clock past the time in a message.
 *
 * @param clock - clock of the receiver
 * @param schema - description of the message
 * @param message - the message
 */
export const observeMessage = (clock: HybridClock, schema: DescMessage, message: Message): void => {
    if (isStamped(schema, message)) {
        clock.observe({ wallMs: message.hybridWallMs, counter: message.hybridCounter });
    }
};

type MessageAction = (clock: HybridClock, schema: DescMessage, message: Message) => void;

async function* eachMessage<T extends Message>(
    messages: AsyncIterable<T>,
    action: (message: T) => void,
): AsyncGenerator<T> {
    for await (const message of messages) {
        action(message);
        yield message;
    }
}

const createInterceptor = (
    clock: HybridClock,
    onRequest: MessageAction,
    onResponse: MessageAction,
): Interceptor =>
next =>
async request => {
    const { input, output } = request.method;
    const act = (message: Message): void => onRequest(clock, input, message);
    if (!request.stream) {
        act(request.message);
    }
    const response = await next(
        request.stream ? { ...request, message: eachMessage(request.message, act) } : request,
    );
    const react = (message: Message): void => onResponse(clock, output, message);
    if (response.stream) {
        return { ...response, message: eachMessage(response.message, react) };
    }
    react(response.message);
    return response;
};

/**
 * Creates the interceptor of calls to other processes.
 *
 * @param clock - clock of this process
 * @returns the interceptor
 */
export const createClientStamper = (clock: HybridClock): Interceptor =>
    createInterceptor(clock, stampMessage, observeMessage);

/**
 * Creates the interceptor of calls from other processes.
 *
 * @param clock - clock of this process
 * @returns the interceptor
 */
export const createServerStamper = (clock: HybridClock): Interceptor =>
    createInterceptor(clock, observeMessage, stampMessage);
