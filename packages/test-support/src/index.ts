/**
 * Test support: virtual clock and in-process network under the real tasks.
 *
 * @packageDocumentation
 */

export * from "./shared/endpoint.ts";
export * from "./shared/link.ts";
export * from "./shared/processClock.ts";
export * from "./shared/virtualClock.ts";
export * from "./shared/virtualNetwork.ts";
export * from "./shared/virtualRuntime.ts";
