/**
 * Non-cryptographic hashing and rendezvous hashing.
 *
 * @packageDocumentation
 */

import xxhash from "xxhash-wasm";

const xxhashApi = await xxhash();

/**
 * Hashes a text.
 *
 * @param text - the text
 * @param seed - 32-bit seed
 * @returns an unsigned 32-bit hash
 */
export const hash32 = (text: string, seed = 0): number => xxhashApi.h32(text, seed);

/**
 * Hashes a content with xxHash64.
 *
 * @param bytes - the content
 * @returns the hash as 16 hexadecimal digits
 */
export const contentHash = (bytes: Uint8Array): string =>
    xxhashApi.h64Raw(bytes).toString(16).padStart(16, "0");

/**
 * Orders candidates for a key by rendezvous hashing. Removing a candidate moves only the keys that were
 * placed on it.
 *
 * @param key - the key to place
 * @param candidates - candidates in any order
 * @param nameOf - returns the stable name of a candidate
 * @returns the candidates, the most preferred first
 */
export const rendezvousOrder = <T>(
    key: string,
    candidates: readonly T[],
    nameOf: (candidate: T) => string,
): T[] =>
    candidates
        .map(candidate => ({
            candidate,
            name: nameOf(candidate),
            weight: hash32(`${key}\u0000${nameOf(candidate)}`),
        }))
        .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
        .map(({ candidate }) => candidate);
