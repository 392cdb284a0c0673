/**
 * Task that records the agent's gauge metrics.
 *
 * @packageDocumentation
 */

import { sleep } from "@magnolialock/kernel";
import { Warmth } from "@magnolialock/protocol";
import type { AgentContext } from "./agentContext.ts";

const GAUGE_PERIOD_MS = 1_000;

/**
 * Records the gauges periodically until the signal aborts.
 *
 * @param context - state of the agent
 * @param signal - ends the task
 */
export const recordGauges = async (context: AgentContext, signal: AbortSignal): Promise<void> => {
    const { clock, metrics } = context.runtime;
    while (!signal.aborted) {
        metrics.gauge("agent.limit", context.limit);
        metrics.gauge("agent.running", context.admission.running);
        metrics.gauge("agent.queued", context.admission.queued);
        metrics.gauge("agent.is_warm", context.lease.warmth === Warmth.WARM ? 1 : 0);
        metrics.gauge("agent.journal_settled", context.journal.settledCount);
        metrics.gauge("agent.journal_bytes", context.journal.answerBytes);
        await sleep(clock, GAUGE_PERIOD_MS, signal).catch(() => {});
    }
};
