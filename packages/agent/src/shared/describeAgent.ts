/**
 * What an agent tells operators about itself.
 *
 * @packageDocumentation
 */

import type { AgentStatus } from "@magnolialock/control";
import { Warmth } from "@magnolialock/protocol";
import { match } from "ts-pattern";
import type { AgentContext } from "./agentContext.ts";

/**
 * Describes an agent for `status`.
 *
 * @param context - the agent
 * @returns its backend server's state
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
