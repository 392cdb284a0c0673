/**
 * JSON bodies of the calls between agents, compressed: the counts and maps of a large group would fill the
 * links of its agents otherwise.
 *
 * @packageDocumentation
 */

import { constants, gunzipSync, gzipSync } from "node:zlib";

/** Value of the headers `content-encoding` and `accept-encoding` for compressed bodies. */
export const COMPRESSED_ENCODING = "gzip";
/** Bodies below this size are sent as they are, in bytes: they fit into one packet anyway. */
const MIN_COMPRESSED_BYTES = 1_000;
/** Largest body after decompression, in bytes: far above the map of the largest group. */
const MAX_DECODED_BYTES = 8 * 1024 * 1024;

/** An encoded body and the headers that describe it. */
export interface EncodedJson {
    /** The bytes to send. */
    readonly body: Uint8Array;
    /** Headers for the body. */
    readonly headers: Readonly<Record<string, string>>;
}

/**
 * Encodes a value as JSON.
 *
 * @param value - the value
 * @param isCompressionAccepted - whether the receiver decodes compressed bodies
 */
export const encodeJson = (value: unknown, isCompressionAccepted: boolean): EncodedJson => {
    const body = Buffer.from(JSON.stringify(value));
    const headers = { "content-type": "application/json" };
    if (!isCompressionAccepted || body.length < MIN_COMPRESSED_BYTES) {
        return { body, headers };
    }
    return {
        body: gzipSync(body, { level: constants.Z_BEST_SPEED }),
        headers: { ...headers, "content-encoding": COMPRESSED_ENCODING },
    };
};

/**
 * Decodes a JSON body.
 *
 * @param bytes - the received body
 * @param encoding - value of its header `content-encoding`; undefined if there is none
 * @throws if the body cannot be decompressed or is not JSON
 */
export const decodeJson = (bytes: Buffer, encoding: string | undefined): unknown => {
    const isCompressed = encoding === COMPRESSED_ENCODING;
    return JSON.parse(
        (isCompressed ? gunzipSync(bytes, { maxOutputLength: MAX_DECODED_BYTES }) : bytes).toString(),
    );
};
