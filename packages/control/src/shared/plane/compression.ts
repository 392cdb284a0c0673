/**
 * Compression of full contents. Each content is compressed once, however many joining processes request it.
 *
 * @packageDocumentation
 */

import { gunzipSync, gzipSync } from "node:zlib";

const compressedContents = new WeakMap<Uint8Array, Uint8Array>();

/**
 * Compresses a content.
 *
 * @param bytes - the content; must not be modified afterwards, because the result is cached
 * @returns the content in gzip format
 */
export const compress = (bytes: Uint8Array): Uint8Array => {
    const known = compressedContents.get(bytes);
    if (known) {
        return known;
    }
    const compressed = gzipSync(bytes, { level: 1 });
    compressedContents.set(bytes, compressed);
    return compressed;
};

/**
 * Decompresses a content.
 *
 * @param compressed - content in gzip format
 * @param maxBytes - maximum size of the result, in bytes
 * @returns the content
 * @throws RangeError if the result is larger, Error if the data is malformed
 */
export const decompress = (compressed: Uint8Array, maxBytes: number): Uint8Array =>
    gunzipSync(compressed, { maxOutputLength: maxBytes });
