/**
 * Main module of `magnolialock-entry`.
 *
 * @packageDocumentation
 */

import "../index.ts";
import { startConfigurationFeed } from "@magnolialock/control";
import {
    branded,
    type Clock,
    createProcessRuntime,
    type DataCentreId,
    ExitCode,
    guardProcess,
    type InstanceId,
    resolveConfig,
    ResourceScope,
    runProgram,
    type Runtime,
    waitForStopSignal,
} from "@magnolialock/kernel";
import { getHeapStatistics } from "node:v8";
import { CallerAccount } from "../shared/callers/callerAccount.ts";
import { callerBounds } from "../shared/callers/callerBounds.ts";
import { createEntry, type Entry } from "../shared/entry.ts";
import { entryCallersClosed } from "../shared/entryEvents.ts";
import { MembershipEntryCount } from "../shared/membershipEntryCount.ts";
import { closedCallersRecorder } from "./callers/closedCallers.ts";
import { entryProgram } from "./entryProgram.ts";
import { createHttpApp } from "./httpApp.ts";
import { type HttpServer, type HttpServerOptions, listenHttp } from "./httpServer.ts";

/** Time for the last answers to leave once no request runs, if the drain timeout is used up, in milliseconds. */
const LAST_ANSWERS_MS = 500;

const BYTES_PER_MB = 1_000_000;
/** Part of what callers may hold that may be heap: garbage waits there for its collection as long as the machine has room. */
const CALLER_HEAP_PART = 0.5;
/** Bodies of the largest size that callers may always hold together. */
const MIN_LARGEST_BODIES = 3;

/** Settings that bound what callers may hold. */
interface CallerSettings {
    readonly memoryMb: number;
    readonly fileDescriptors: number;
    readonly maxBodyBytes: number;
}

/** What a stop of the entry ends. */
interface StopOptions {
    readonly servers: readonly HttpServer[];
    readonly entry: Entry;
    readonly clock: Clock;
    readonly drainTimeoutMs: number;
    /** Announces to other processes that this one is leaving. */
    readonly leave: () => Promise<void>;
}

/**
 * Refuses new requests and sends callers to other entries, waits for the running requests, and then for their answers
 * to leave.
 */
const stopServing = async ({ servers, entry, clock, ...options }: StopOptions): Promise<void> => {
    const endMs = clock.nowMs() + options.drainTimeoutMs;
    servers.forEach(server => server.drain());
    await Promise.all([options.leave(), entry.stop()]);
    const timeoutMs = Math.max(LAST_ANSWERS_MS, endMs - clock.nowMs());
    await Promise.all(servers.map(server => server.close(timeoutMs)));
};

/** Account of what callers hold, and the record of the connections that are closed because of them. */
const callerLimits = (
    { fileDescriptors, maxBodyBytes, memoryMb }: CallerSettings,
    { clock, events, metrics }: Runtime,
): HttpServerOptions["callers"] => {
    const machine = { memoryBytes: memoryMb * BYTES_PER_MB, descriptors: fileDescriptors };
    const bounds = callerBounds(machine, getHeapStatistics().heap_size_limit);
    return {
        maxBodyBytes,
        account: new CallerAccount({
            ...bounds,
            heapBytes: Math.min(bounds.heapBytes, bounds.bytes * CALLER_HEAP_PART),
            bytes: Math.max(bounds.bytes, maxBodyBytes * MIN_LARGEST_BODIES),
        }),
        onClosed: closedCallersRecorder({
            clock,
            count: cause => metrics.increment("entry.callers.closed", 1, { cause }),
            log: closed => events.emit(entryCallersClosed, closed),
        }),
    };
};

const main = async (): Promise<number> => {
    const settings = await resolveConfig(entryProgram, process.argv.slice(2));
    await using runtime = createProcessRuntime({ instance: settings.instance, statsd: settings.statsd });
    using _guard = guardProcess(runtime);
    await using feed = startConfigurationFeed({ ...settings, runtime, role: "entry" });
    const entry = createEntry({
        runtime,
        instance: branded<InstanceId>(settings.instance),
        dataCentre: branded<DataCentreId>(settings.dataCentre),
        configuration: feed.store,
        policy: settings.policy,
        drainTimeoutMs: settings.drainTimeoutMs,
        entryCount: feed.membership && new MembershipEntryCount(feed.membership),
    });
    const app = createHttpApp({ entry, maxBodyBytes: settings.maxBodyBytes });
    // A signal between the first listener and the last would end the process, with the requests it has taken.
    const stopSignal = waitForStopSignal();
    await using listeners = new ResourceScope();
    listeners.use(await runtime.network.listen(settings.control, feed.services));
    const callers = callerLimits(settings, runtime);
    const servers = [
        listeners.use(await listenHttp({ app, address: settings.listen, protocol: "http1", callers })),
    ];
    if (settings.listenHttp2) {
        servers.push(
            listeners.use(
                await listenHttp({ app, address: settings.listenHttp2, protocol: "http2", callers }),
            ),
        );
    }
    await stopSignal;
    await stopServing({
        servers,
        entry,
        clock: runtime.clock,
        drainTimeoutMs: settings.drainTimeoutMs,
        leave: () => feed.leave(),
    });
    return ExitCode.Success;
};

await runProgram(main);
