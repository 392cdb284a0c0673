/**
 * The lab: stand-ins, load and experiments.
 *
 * @packageDocumentation
 */

export * from "./node/platformStandIns/backendStandIn.ts";
export * from "./node/platformStandIns/storeStandIn.ts";
export * from "./shared/fleet/fleetMembers.ts";
export * from "./shared/fleet/fleetRules.ts";
export * from "./shared/fleet/virtualFleet.ts";
export * from "./shared/oracle/promise.ts";
export * from "./shared/rollout/rolloutFleet.ts";
export * from "./shared/rollout/rolloutRules.ts";
export * from "./shared/scenarios/parseScenario.ts";
export * from "./shared/scenarios/runScenario.ts";
export * from "./shared/standIns/engineOrders.ts";
export * from "./shared/standIns/settleInProcess.ts";
export * from "./shared/standIns/simulatedBackends.ts";
export * from "./shared/standIns/simulatedEngine.ts";
export * from "./shared/standIns/simulatedPlainService.ts";
export * from "./shared/standIns/simulatedPlatform.ts";
