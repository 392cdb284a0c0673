/**
 * Orders to the engine of one rank.
 *
 * @packageDocumentation
 */

import type { MapActivation } from "./mapActivation.ts";

/** An activation that the engine holds before its first step. */
export interface ArmedActivation extends MapActivation {
    /** Whether the engine may start the first step. */
    readonly isReleased: boolean;
}

/** What an engine says of itself. */
export interface RankEngineStatus {
    /** One life of the engine; a restart begins a new one. */
    readonly incarnation: string;
    /** Step that it is in or waits to start. */
    readonly step: number;
    /** Whether it has started that step. */
    readonly isStarted: boolean;
    /** Map that it runs; undefined after a restart until it is installed. */
    readonly inForce: MapActivation | undefined;
    /** Map that it changes to. */
    readonly armed: ArmedActivation | undefined;
}

/**
 * Engine of one rank. Orders carry the epoch as fencing number; some engines refuse orders with an old one, others
 * ignore it. After a restart an engine starts no step before its agent has installed a map.
 */
export interface RankEngine {
    /** Reads the engine's own state. */
    status(): Promise<RankEngineStatus>;
    /**
     * Puts a map in force at once and lets the engine start a step.
     *
     * @param activation - the map
     * @param step - step to start with
     * @param fence - fencing number
     */
    install(activation: MapActivation, step: number, fence: number): Promise<void>;
    /**
     * Prepares a change of map. The engine stops before the first step of the new map until it is released.
     *
     * @param activation - map and first step
     * @param fence - fencing number
     */
    arm(activation: MapActivation, fence: number): Promise<void>;
    /**
     * Lets the engine go on with the armed map.
     *
     * @param fence - fencing number
     */
    release(fence: number): Promise<void>;
    /**
     * Makes the engine forget the armed map and go on with the one in force.
     *
     * @param fence - fencing number
     */
    disarm(fence: number): Promise<void>;
}
