/**
 * Binary encoding of expert maps.
 *
 * @packageDocumentation
 */

import { branded, contentHash, ProtocolError } from "@magnolialock/kernel";
import { createExpertMap, type ExpertMap, type GroupShape, slotsPerLayer } from "../types/expertMap.ts";
import type { EncodedMap, MapId } from "../types/mapActivation.ts";

const BYTES_PER_SLOT = 4;
const SHARE_SCALE = 65_535;

/**
 * Encodes a map: for each slot the expert and its share, as little-endian 16-bit numbers.
 *
 * @param map - the map
 * @returns the encoded map, whose identifier is the hash of its bytes
 */
export const encodeMap = (map: ExpertMap): EncodedMap => {
    const bytes = new Uint8Array(map.experts.length * BYTES_PER_SLOT);
    const view = new DataView(bytes.buffer);
    for (let slot = 0; slot < map.experts.length; slot++) {
        view.setUint16(slot * BYTES_PER_SLOT, map.experts[slot]!, true);
        view.setUint16(slot * BYTES_PER_SLOT + 2, Math.round(map.shares[slot]! * SHARE_SCALE), true);
    }
    return { id: branded<MapId>(contentHash(bytes)), bytes };
};

/**
 * Decodes a map.
 *
 * @param shape - dimensions of the group
 * @param encoded - the encoded map
 * @returns the map
 * @throws ProtocolError when the number of bytes does not match the dimensions
 */
export const decodeMap = (shape: GroupShape, encoded: EncodedMap): ExpertMap => {
    if (encoded.bytes.length !== shape.layers * slotsPerLayer(shape) * BYTES_PER_SLOT) {
        throw new ProtocolError(`map ${encoded.id} does not match the dimensions of the group`);
    }
    const map = createExpertMap(shape);
    const view = new DataView(encoded.bytes.buffer, encoded.bytes.byteOffset);
    for (let slot = 0; slot < map.experts.length; slot++) {
        map.experts[slot] = view.getUint16(slot * BYTES_PER_SLOT, true);
        map.shares[slot] = view.getUint16(slot * BYTES_PER_SLOT + 2, true) / SHARE_SCALE;
    }
    return map;
};
