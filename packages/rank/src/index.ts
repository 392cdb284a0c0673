/**
 * Rank agent: adapts the expert map of a group of model servers to the current demand for experts.
 *
 * @packageDocumentation
 */

export * from "./node/rankAgent.ts";
export * from "./types/rankServer.ts";
export * from "./types/rankSettings.ts";
