/**
 * Entry point of the program `magnolialock-agent`.
 *
 * @packageDocumentation
 */

import { startConfigurationFeed } from "@magnolialock/control";
import {
    type BackendServerId,
    branded,
    createProcessRuntime,
    ExitCode,
    guardProcess,
    resolveConfig,
    runProgram,
    waitForStopSignal,
} from "@magnolialock/kernel";
import { type Agent, createAgent } from "../shared/agent.ts";
import { describeAgent } from "../shared/describeAgent.ts";
import { agentProgram } from "./agentProgram.ts";
import { createHttpBackend } from "./httpBackend.ts";

const main = async (): Promise<number> => {
    const settings = await resolveConfig(agentProgram, process.argv.slice(2));
    await using runtime = createProcessRuntime({ instance: settings.instance, statsd: settings.statsd });
    using _guard = guardProcess(runtime);
    const started: { agent?: Agent; } = {};
    await using feed = startConfigurationFeed({
        ...settings,
        runtime,
        role: "agent",
        agent: () => started.agent && describeAgent(started.agent.context),
    });
    await using backend = createHttpBackend({ address: settings.backend });
    const agent = await createAgent({
        runtime,
        backend,
        server: branded<BackendServerId>(settings.server),
        listen: settings.control,
        services: feed.services,
        configuration: feed.store,
        drainTimeoutMs: settings.drainTimeoutMs,
    });
    started.agent = agent;
    await waitForStopSignal();
    await feed.leave();
    await agent.stop();
    return ExitCode.Success;
};

await runProgram(main);
