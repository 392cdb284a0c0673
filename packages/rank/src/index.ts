/**
 * Rank agent: keeps the expert map of a group of model servers in step with what is in demand.
 *
 * @packageDocumentation
 */

export * from "./node/rankAgent.ts";
export * from "./types/rankServer.ts";
export * from "./types/rankSettings.ts";
