/**
 * Direct entry: serves callers straight from backend servers that check which request is meant for them.
 *
 * @packageDocumentation
 */

export * from "./node/directEntry.ts";
export { directReloaded, directReloadFailed } from "./shared/directEvents.ts";
export * from "./types/callHeaders.ts";
export * from "./types/directSettings.ts";
export * from "./types/publishedState.ts";
