/**
 * Program `magnolialock-agent`.
 *
 * @packageDocumentation
 */

import { processSettings, startConfigurationFeed } from "@magnolialock/control";
import {
    type BackendServerId,
    branded,
    createProcessRuntime,
    ExitCode,
    integerSetting,
    requiredAddressSetting,
    requiredTextSetting,
    resolveConfig,
    runProgram,
    VERSION,
    waitForStopSignal,
} from "@magnolialock/kernel";
import { createAgent } from "../shared/agent.ts";
import { createHttpBackend } from "./httpBackend.ts";

const program = {
    programName: "magnolialock-agent",
    description: "Stands beside one backend server and is the only way to it.",
    version: VERSION,
    definitions: {
        ...processSettings,
        server: requiredTextSetting({ description: "Name of the backend server in the rules" }),
        backend: requiredAddressSetting({ description: "Address of the backend server" }),
        drainTimeoutMs: integerSetting({
            description: "Longest time that a stop waits for running work, in milliseconds",
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
    await using backend = createHttpBackend({ address: settings.backend });
    const agent = await createAgent({
        runtime,
        backend,
        server: branded<BackendServerId>(settings.server),
        listen: settings.control,
        configuration: feed.store,
        drainTimeoutMs: settings.drainTimeoutMs,
    });
    await waitForStopSignal();
    await agent.stop();
    return ExitCode.Success;
};

await runProgram(main);
