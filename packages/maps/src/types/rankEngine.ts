/**
 * Interface to the engine of one rank.
 *
 * @packageDocumentation
 */

import type { MapActivation } from "./mapActivation.ts";

/** An activation that the engine has accepted but not yet started. */
export interface ArmedActivation extends MapActivation {
    /** Whether the engine may start the first step. */
    readonly isReleased: boolean;
}

/** State of an engine. */
export interface RankEngineStatus {
    /** Incarnation of the engine; a restart begins a new one. */
    readonly incarnation: string;
    /** Step that the engine runs or waits to start. */
    readonly step: number;
    /** Whether it has started that step. */
    readonly isStarted: boolean;
    /** Map that the engine runs; undefined after a restart until a map is installed. */
    readonly inForce: MapActivation | undefined;
    /** Map that the engine will switch to. */
    readonly armed: ArmedActivation | undefined;
}

/**
 * Engine of one rank. Orders carry the epoch as fencing token; some engines refuse orders with a token lower
 * than one they have seen, others ignore the token. After a restart an engine starts no step before its agent
 * has installed a map.
 */
export interface RankEngine {
    /** Reads the engine's own state. */
    status(): Promise<RankEngineStatus>;
    /**
     * Puts a map in force immediately and lets the engine start a step.
     *
     * @param activation - the map
     * @param step - step to start with
     * @param fence - fencing token
     */
    install(activation: MapActivation, step: number, fence: number): Promise<void>;
    /**
     * Arms the engine for a new map. The engine stops before the first step on the new map until it is
     * released.
     *
     * @param activation - map and first step
     * @param fence - fencing token
     */
    arm(activation: MapActivation, fence: number): Promise<void>;
    /**
     * Lets the engine continue with the armed map.
     *
     * @param fence - fencing token
     */
    release(fence: number): Promise<void>;
    /**
     * Makes the engine discard the armed map and continue with the one in force.
     *
     * @param fence - fencing token
     */
    disarm(fence: number): Promise<void>;
}
