/**
 * Foundation of all packages: interfaces for time, randomness and network, plug-in registries, events, errors
 * and settings.
 *
 * @packageDocumentation
 */

export * from "./node/address.ts";
export * from "./node/boundedConnector.ts";
export * from "./node/commandLine.ts";
export * from "./node/datagramSocket.ts";
export * from "./node/debugSink.ts";
export * from "./node/jsonLogSink.ts";
export * from "./node/meteredSocket.ts";
export * from "./node/processGuard.ts";
export * from "./node/processRuntime.ts";
export * from "./node/settings.ts";
export * from "./node/statsdMetrics.ts";
export * from "./node/systemClock.ts";
export * from "./node/tcpNetwork.ts";
export * from "./shared/abortable.ts";
export * from "./shared/asyncQueue.ts";
export * from "./shared/batches.ts";
export * from "./shared/brand.ts";
export * from "./shared/clock.ts";
export * from "./shared/deferred.ts";
export * from "./shared/errors.ts";
export * from "./shared/events.ts";
export * from "./shared/findings.ts";
export * from "./shared/hash.ts";
export * from "./shared/hybridClock.ts";
export * from "./shared/hybridClockInterceptors.ts";
export * from "./shared/metrics.ts";
export * from "./shared/network.ts";
export * from "./shared/pauseDetector.ts";
export * from "./shared/plugins.ts";
export * from "./shared/random.ts";
export * from "./shared/readBounded.ts";
export * from "./shared/readPace.ts";
export * from "./shared/resourceScope.ts";
export * from "./shared/rulesRevision.ts";
export * from "./shared/runtime.ts";
export * from "./shared/seededFaults.ts";
export * from "./shared/timeline.ts";
export * from "./shared/version.ts";
