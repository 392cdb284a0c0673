/**
 * Program `magnolialock-entry`.
 *
 * @packageDocumentation
 */

import "../index.ts";
import { processSettings, startConfigurationFeed } from "@magnolialock/control";
import {
    addressSetting,
    branded,
    createProcessRuntime,
    type DataCentreId,
    ExitCode,
    type InstanceId,
    integerSetting,
    requiredAddressSetting,
    resolveConfig,
    ResourceScope,
    runProgram,
    textSetting,
    VERSION,
    waitForStopSignal,
} from "@magnolialock/kernel";
import { createEntry } from "../shared/entry.ts";
import { createHttpFront } from "./httpFront.ts";
import { listenHttp } from "./httpServer.ts";

const program = {
    programName: "magnolialock-entry",
    description: "Takes callers' requests and finds backend servers for them.",
    version: VERSION,
    definitions: {
        ...processSettings,
        listen: requiredAddressSetting({ description: "Address for callers, HTTP/1.1" }),
        listenHttp2: addressSetting({ description: "Address for callers, HTTP/2 with prior knowledge" }),
        policy: textSetting({ description: "Routing policy", defaultValue: "adaptive" }),
        maxBodyBytes: integerSetting({
            description: "Largest body of a request, in bytes",
            defaultValue: 1_048_576,
            min: 1,
            max: 67_108_864,
        }),
        drainTimeoutMs: integerSetting({
            description: "Longest time that a stop waits for running requests, in milliseconds",
            defaultValue: 30_000,
            min: 0,
            max: 3_600_000,
        }),
    },
} as const;

const main = async (): Promise<number> => {
    const settings = await resolveConfig(program, process.argv.slice(2));
    await using runtime = createProcessRuntime({ instance: settings.instance, statsd: settings.statsd });
    await using feed = startConfigurationFeed({ ...settings, runtime });
    const entry = createEntry({
        runtime,
        instance: branded<InstanceId>(settings.instance),
        dataCentre: branded<DataCentreId>(settings.dataCentre),
        configuration: feed.store,
        policy: settings.policy,
        drainTimeoutMs: settings.drainTimeoutMs,
    });
    const app = createHttpFront({ entry, maxBodyBytes: settings.maxBodyBytes });
    await using listeners = new ResourceScope();
    listeners.use(await listenHttp({ app, address: settings.listen, protocol: "http1" }));
    if (settings.listenHttp2) {
        listeners.use(await listenHttp({ app, address: settings.listenHttp2, protocol: "http2" }));
    }
    await waitForStopSignal();
    await entry.stop();
    return ExitCode.Success;
};

await runProgram(main);
