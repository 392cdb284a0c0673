/**
 * Main module of `magnolialock-entry`.
 *
 * @packageDocumentation
 */

import "../index.ts";
import { startConfigurationFeed } from "@magnolialock/control";
import {
    branded,
    createProcessRuntime,
    type DataCentreId,
    ExitCode,
    guardProcess,
    type InstanceId,
    resolveConfig,
    ResourceScope,
    runProgram,
    waitForStopSignal,
} from "@magnolialock/kernel";
import { createEntry, type Entry } from "../shared/entry.ts";
import { MembershipEntryCount } from "../shared/membershipEntryCount.ts";
import { entryProgram } from "./entryProgram.ts";
import { createHttpApp } from "./httpApp.ts";
import { type HttpServer, listenHttp } from "./httpServer.ts";

/** What a stop of the entry ends. */
interface StopOptions {
    readonly servers: readonly HttpServer[];
    readonly entry: Entry;
    /** Announces to other processes that this one is leaving. */
    readonly leave: () => Promise<void>;
}

/** Refuses new requests, sends callers to other entries, and waits for the running requests. */
const stopServing = async ({ servers, entry, leave }: StopOptions): Promise<void> => {
    servers.forEach(server => server.drain());
    await Promise.all([leave(), entry.stop()]);
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
    const servers = [
        listeners.use(await listenHttp({ app, address: settings.listen, protocol: "http1" })),
    ];
    if (settings.listenHttp2) {
        servers.push(
            listeners.use(await listenHttp({ app, address: settings.listenHttp2, protocol: "http2" })),
        );
    }
    await stopSignal;
    await stopServing({
        servers,
        entry,
        leave: () => feed.leave(),
    });
    return ExitCode.Success;
};

await runProgram(main);
