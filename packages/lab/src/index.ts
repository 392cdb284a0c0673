/**
 * The lab: stand-ins, load and experiments.
 *
 * @packageDocumentation
 */

export * from "./shared/fleet/fleetRules.ts";
export * from "./shared/fleet/virtualFleet.ts";
export * from "./shared/rollout/rolloutFleet.ts";
export * from "./shared/standIns/engineModel.ts";
export * from "./shared/standIns/engineOrders.ts";
export * from "./shared/standIns/modelBackends.ts";
export * from "./shared/standIns/plainModel.ts";
export * from "./shared/standIns/platformModel.ts";
