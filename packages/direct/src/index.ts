/**
 * Direct entry: forwards callers' requests straight to backend servers, which check that a request is meant
 * for them.
 *
 * @packageDocumentation
 */

export { DEFAULT_MACHINE, type MachineLimits } from "@magnolialock/entry/src/shared/callers/callerBounds.ts";
export * from "./node/directEntry.ts";
export { directReloaded, directReloadFailed } from "./shared/directEvents.ts";
export * from "./types/callHeaders.ts";
export * from "./types/directSettings.ts";
export * from "./types/publishedState.ts";
