/**
 * Test support: a virtual clock and an in-process network on which the production code runs in simulations, and
 * programs and callers on real sockets.
 *
 * @packageDocumentation
 */

export * from "./node/builtProgram.ts";
export * from "./node/crowd.ts";
export * from "./node/freePort.ts";
export * from "./node/http2Crowd.ts";
export * from "./node/programProcess.ts";
export * from "./node/rawCaller.ts";
export * from "./node/repeatedRequest.ts";
export * from "./node/silentHost.ts";
export * from "./shared/cutAnswers.ts";
export * from "./shared/endpoint.ts";
export * from "./shared/link.ts";
export * from "./shared/processClock.ts";
export * from "./shared/revisionedStore.ts";
export * from "./shared/virtualClock.ts";
export * from "./shared/virtualNetwork.ts";
export * from "./shared/virtualRuntime.ts";
