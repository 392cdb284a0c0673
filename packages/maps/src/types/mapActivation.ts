/**
 * Maps as the switch between maps handles them.
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

/** A map that is in force from a step on. */
export interface MapActivation {
    /** Epoch in which it was proposed, unique over all proposals of the group. */
    readonly epoch: number;
    /** First step that runs on the map. */
    readonly fromStep: number;
    /** The map. */
    readonly map: EncodedMap;
}
