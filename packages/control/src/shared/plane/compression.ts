/**
 * Compression of whole contents. Each content is compressed once, however many newcomers ask for it.
 *
 * @packageDocumentation
 */

import { gunzipSync, gzipSync } from "node:zlib";

const compressedContents = new WeakMap<Uint8Array, Uint8Array>();

/**
 * Compresses a content.
 *
 * @param bytes - the content, which must not change
 * @returns its gzip form
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
 * Expands a content.
 *
 * @param compressed - gzip form
 * @param maxBytes - largest allowed result, in bytes
 * @returns the content
 * @throws RangeError when the result is larger, Error when the form is malformed
 */
export const decompress = (compressed: Uint8Array, maxBytes: number): Uint8Array =>
    gunzipSync(compressed, { maxOutputLength: maxBytes });
