/**
 * Conversion between the protocol messages of the map switch and the types of this package.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { branded, ProtocolError } from "@magnolialock/kernel";
import {
    type MapActivation as ActivationMessage,
    MapActivationSchema,
    type MapMemberReply,
    MapMemberReplySchema,
    MapRefusal,
} from "@magnolialock/protocol";
import type { EncodedMap, MapActivation, MapId } from "../../types/mapActivation.ts";
import type { MemberReply, RefusalReason } from "./memberReply.ts";

const REFUSALS: Readonly<Record<RefusalReason, MapRefusal>> = {
    "lower-epoch": MapRefusal.LOWER_EPOCH,
    "other-roster": MapRefusal.OTHER_ROSTER,
    restarted: MapRefusal.RESTARTED,
    "too-late": MapRefusal.TOO_LATE,
    engine: MapRefusal.ENGINE,
    "not-armed": MapRefusal.NOT_ARMED,
    pending: MapRefusal.PENDING,
};

const REASONS = new Map(
    Object.entries(REFUSALS).map(([reason, refusal]) => [refusal, reason as RefusalReason]),
);

/** Most maps that a process caches for messages that contain only a map's identifier. */
const MAX_KNOWN_MAPS = 8;

/** Cache of maps by identifier, so that a map's content is sent to a process only once. */
export class MapLibrary {
    private readonly maps = new Map<MapId, EncodedMap>();

    /** Identifiers of the cached maps. */
    public ids(): MapId[] {
        return [...this.maps.keys()];
    }

    /**
     * Adds a map and evicts the oldest one if the cache is full.
     *
     * @param map - the map
     */
    public add(map: EncodedMap): void {
        this.maps.delete(map.id);
        this.maps.set(map.id, map);
        const oldest = this.maps.keys().next().value;
        if (this.maps.size > MAX_KNOWN_MAPS && oldest !== undefined) {
            this.maps.delete(oldest);
        }
    }

    /**
     * Finds the map that a message refers to.
     *
     * @param message - the message
     * @returns the map
     * @throws ProtocolError when neither the message nor the library contains the map's content
     */
    public resolve(message: ActivationMessage): EncodedMap {
        const id = branded<MapId>(message.mapId);
        const known = this.maps.get(id);
        if (known) {
            return known;
        }
        if (message.map.length === 0) {
            throw new ProtocolError(`the content of map ${id} is missing`);
        }
        const map: EncodedMap = { id, bytes: message.map };
        this.add(map);
        return map;
    }
}

/**
 * Encodes an activation.
 *
 * @param activation - the activation
 * @param knownIds - identifiers of maps whose content the receiver has, so that it is left out
 * @returns the message
 */
export const encodeActivation = (
    activation: MapActivation,
    knownIds: readonly string[] = [],
): ActivationMessage =>
    create(MapActivationSchema, {
        epoch: BigInt(activation.epoch),
        fromStep: BigInt(activation.fromStep),
        mapId: activation.map.id,
        map: knownIds.includes(activation.map.id) ? new Uint8Array() : activation.map.bytes,
    });

/**
 * Decodes an activation.
 *
 * @param message - the message
 * @param library - cache of known maps
 * @returns the activation
 * @throws ProtocolError when the map's content is missing
 */
export const decodeActivation = (message: ActivationMessage, library: MapLibrary): MapActivation => ({
    epoch: Number(message.epoch),
    fromStep: Number(message.fromStep),
    map: library.resolve(message),
});

/**
 * Encodes a reply.
 *
 * @param reply - the reply
 * @param knownIds - identifiers of maps whose content the receiver has, so that it is left out
 * @returns the message
 */
export const encodeReply = (reply: MemberReply, knownIds: readonly string[]): MapMemberReply =>
    create(MapMemberReplySchema, {
        refusal: reply.refusal ? REFUSALS[reply.refusal] : MapRefusal.UNSPECIFIED,
        rank: reply.rank,
        incarnation: reply.incarnation,
        engineIncarnation: reply.engineIncarnation,
        promisedEpoch: BigInt(reply.promisedEpoch),
        decided: reply.decided.map(activation => encodeActivation(activation, knownIds)),
        armed: reply.armed && encodeActivation(reply.armed, knownIds),
        step: BigInt(reply.step),
        isSettled: reply.isSettled,
    });

/**
 * Decodes a reply.
 *
 * @param message - the message
 * @param library - cache of known maps
 * @returns the reply
 * @throws ProtocolError when a map's content is missing
 */
export const decodeReply = (message: MapMemberReply, library: MapLibrary): MemberReply => ({
    refusal: REASONS.get(message.refusal),
    rank: message.rank,
    incarnation: message.incarnation,
    engineIncarnation: message.engineIncarnation,
    promisedEpoch: Number(message.promisedEpoch),
    decided: message.decided.map(activation => decodeActivation(activation, library)),
    armed: message.armed && decodeActivation(message.armed, library),
    step: Number(message.step),
    isSettled: message.isSettled,
});
