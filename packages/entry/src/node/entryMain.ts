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
import { createEntry } from "../shared/entry.ts";
import { MembershipEntryCount } from "../shared/membershipEntryCount.ts";
import { entryProgram } from "./entryProgram.ts";
import { createHttpApp } from "./httpApp.ts";
import { listenHttp } from "./httpServer.ts";

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
    await using listeners = new ResourceScope();
    listeners.use(await runtime.network.listen(settings.control, feed.services));
    listeners.use(await listenHttp({ app, address: settings.listen, protocol: "http1" }));
    if (settings.listenHttp2) {
        listeners.use(await listenHttp({ app, address: settings.listenHttp2, protocol: "http2" }));
    }
    await waitForStopSignal();
    await feed.leave();
    await entry.stop();
    return ExitCode.Success;
};

await runProgram(main);
