/**
 * Connections to peers whose responses are small: a response in all its parts, from the status line to the trailers, may take so
 * many bytes and no more.
 *
 * @packageDocumentation
 */

import { buildConnector } from "undici";
import { ProtocolError } from "../shared/errors.ts";
import { meterReads } from "./meteredSocket.ts";

/** Options of {@link createBoundedConnector}. */
export interface BoundedConnectorOptions {
    /** Time for opening a connection, in milliseconds. */
    readonly timeoutMs: number;
    /** Largest body of a response, in bytes. */
    readonly maxBodyBytes: number;
}

/** Bytes of a response beside its body and the framing of the body. */
const MAX_HEAD_BYTES = 256 * 1024;
/** Bytes of a body and its framing for each byte of the body: chunks of a few hundred bytes add less. */
const FRAMING_FACTOR = 1.25;

/**
 * Creates a connector for an undici agent. A connection is closed when one response exceeds the limit; responses are told apart
 * by the requests written between them, so it does not suit pipelining.
 *
 * @param options - timeout and largest body
 */
export const createBoundedConnector = (
    { maxBodyBytes, timeoutMs }: BoundedConnectorOptions,
): buildConnector.connector => {
    const connect = buildConnector({ timeout: timeoutMs });
    const maxBytes = MAX_HEAD_BYTES + maxBodyBytes * FRAMING_FACTOR;
    return (options, callback) => {
        connect(options, (...result) => {
            const [, socket] = result;
            if (socket) {
                let bytes = 0;
                meterReads(socket, count => {
                    bytes += count;
                    const isWithin = bytes <= maxBytes;
                    if (!isWithin) {
                        const error = new ProtocolError(`a response is larger than ${maxBytes} bytes`);
                        // The parser must not lose its socket while it reads.
                        setImmediate(() => socket.destroy(error));
                    }
                    return isWithin;
                });
                const write = socket.write.bind(socket) as typeof socket.write;
                socket.write = ((...args: Parameters<typeof write>) => {
                    bytes = 0;
                    return write(...args);
                }) as typeof socket.write;
            }
            callback(...result);
        });
    };
};
