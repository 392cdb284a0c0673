/**
 * Program `magnolialock-agent`.
 *
 * @packageDocumentation
 */

import { startConfigurationFeed } from "@magnolialock/control";
import {
    type BackendServerId,
    branded,
    createProcessRuntime,
    ExitCode,
    resolveConfig,
    runProgram,
    waitForStopSignal,
} from "@magnolialock/kernel";
import { createAgent } from "../shared/agent.ts";
import { agentProgram } from "./agentProgram.ts";
import { createHttpBackend } from "./httpBackend.ts";

const main = async (): Promise<number> => {
    const settings = await resolveConfig(agentProgram, process.argv.slice(2));
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
