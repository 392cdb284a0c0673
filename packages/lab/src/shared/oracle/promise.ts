/**
 * Promises of the system, as checks of what was seen. They share no code with the product.
 *
 * @packageDocumentation
 */

import { type Plugin, PluginRegistry } from "@magnolialock/kernel";
import type { Observations } from "./observations.ts";

/** One promise that must always hold. */
export interface SystemPromise extends Plugin {
    /** The promise in one sentence. */
    readonly description: string;
    /**
     * Looks for violations.
     *
     * @param seen - what was seen
     * @returns one sentence for each violation
     */
    readonly check: (seen: Observations) => readonly string[];
}

/** A violated promise. */
export interface Violation {
    /** Name of the promise. */
    readonly promise: string;
    /** What was seen. */
    readonly message: string;
}

/** All promises. */
export const systemPromises = new PluginRegistry<SystemPromise>("promise");

/**
 * Checks all promises.
 *
 * @param seen - what was seen
 * @returns the violations
 */
export const checkPromises = (seen: Observations): Violation[] =>
    systemPromises.all().flatMap(promise =>
        promise.check(seen).map(message => ({ promise: promise.name, message }))
    );
