/**
 * Maps and their activations in the map switch.
 *
 * @packageDocumentation
 */

import type { Brand } from "@magnolialock/kernel";

/** Content hash of an encoded map. */
export type MapId = Brand<string, "MapId">;

/** An encoded map. */
export interface EncodedMap {
    /** Content hash. */
    readonly id: MapId;
    /** Encoded content. */
    readonly bytes: Uint8Array;
}

/** A map and the step from which it is in force. */
export interface MapActivation {
    /** Epoch of the round that proposed it; unique among all proposals of the group. */
    readonly epoch: number;
    /** First step that runs on the map. */
    readonly fromStep: number;
    /** The map. */
    readonly map: EncodedMap;
}
