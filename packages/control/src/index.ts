/**
 * Control plane: distribution of the configuration and membership of the fleet.
 *
 * @packageDocumentation
 */

export * from "./node/configurationFeed.ts";
export * from "./node/consulPlatform.ts";
export * from "./node/processSettings.ts";
export * from "./node/watchRulesFile.ts";
export * from "./shared/configurationStore.ts";
export * from "./shared/controlEvents.ts";
export * from "./shared/membership/membership.ts";
export * from "./shared/messageAuthenticator.ts";
export * from "./shared/plane/controlPlane.ts";
export * from "./shared/statusService.ts";
export * from "./shared/timelineService.ts";
export * from "./shared/watchRulesStandalone.ts";
export * from "./types/member.ts";
export * from "./types/platform.ts";
