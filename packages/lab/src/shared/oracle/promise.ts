/**
 * Promises: invariants of the system, checked against what was observed during a run. The checks share no
 * code with the product.
 *
 * @packageDocumentation
 */

import { type Plugin, PluginRegistry } from "@magnolialock/kernel";
import type { Observations } from "./observations.ts";

/** Promise: an invariant that must hold in every run. */
export interface SystemPromise extends Plugin {
    /** The invariant in one sentence. */
    readonly description: string;
    /**
     * Finds violations.
     *
     * @param observations - what was observed during the run
     * @returns one message for each violation
     */
    readonly check: (observations: Observations) => readonly string[];
}

/** Violation of a promise. */
export interface Violation {
    /** Name of the promise. */
    readonly promise: string;
    /** What violates it. */
    readonly message: string;
}

/** Registry of all promises. */
export const systemPromises = new PluginRegistry<SystemPromise>("promise");

/**
 * Checks all registered promises.
 *
 * @param observations - what was observed during the run
 * @returns the violations of all promises
 */
export const checkPromises = (observations: Observations): Violation[] =>
    systemPromises.all().flatMap(promise =>
        promise.check(observations).map(message => ({ promise: promise.name, message }))
    );
