/**
 * Counts the bytes that are read from a socket, so that a faulty peer that sends without end is noticed whatever it sends: a
 * parser of HTTP reports neither a long status line nor the framing of chunks.
 *
 * @packageDocumentation
 */

import type { Socket } from "node:net";

/** What a stream returns when it has nothing to read. */
// eslint-disable-next-line no-restricted-syntax -- the interface of Node.js streams
const NOTHING = null;
type EmptyRead = typeof NOTHING;

/**
 * Calls a listener for each read, before its bytes are parsed.
 *
 * @param socket - a socket that is read by `socket.read()`
 * @param listener - gets the number of bytes; returns false to read no further
 */
export const meterReads = (socket: Socket, listener: (bytes: number) => boolean): void => {
    const read = socket.read.bind(socket) as (size?: number) => Buffer | EmptyRead;
    let isOpen = true;
    socket.read = (size?: number): Buffer | EmptyRead => {
        const chunk = isOpen ? read(size) : NOTHING;
        isOpen = chunk === NOTHING ? isOpen : listener(chunk.length);
        return isOpen ? chunk : NOTHING;
    };
};
