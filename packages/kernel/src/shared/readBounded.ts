/**
 * Reads a response body up to a limit: a faulty server may send one without end.
 *
 * @packageDocumentation
 */

import { MagnolialockError } from "./errors.ts";

/** Raised when a body is larger than its limit. */
export const BodyTooLargeError = MagnolialockError.subclass("BodyTooLargeError");

/**
 * Reads a body.
 *
 * @param body - the body; it is closed when it is too large
 * @param maxBytes - its largest size, in bytes
 * @returns the complete body
 * @throws BodyTooLargeError when the body is larger
 */
export const readBounded = async (body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> => {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            throw new BodyTooLargeError(`the body is larger than ${maxBytes} bytes`);
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};
