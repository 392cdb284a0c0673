/**
 * Description of the agent for operators.
 *
 * @packageDocumentation
 */

import type { AgentStatus } from "@magnolialock/control";
import { Warmth } from "@magnolialock/protocol";
import { match } from "ts-pattern";
import type { AgentContext } from "./agentContext.ts";

/**
 * Describes an agent for the `status` command.
 *
 * @param context - state of the agent
 * @returns status of the agent and its backend server
 */
export const describeAgent = (context: AgentContext): AgentStatus => ({
    server: context.server,
    warmth: match(context.lease.warmth)
        .with(Warmth.WARM, () => "warm")
        .with(Warmth.WARMING, () => "warming")
        .with(Warmth.COLD, () => "cold")
        .otherwise(() => "unknown"),
    running: context.admission.running,
    queued: context.admission.queued,
    limit: context.limit,
    isDraining: context.gate.isDraining,
});
