/**
 * Reports of the agent's state to entries.
 *
 * @packageDocumentation
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { type AgentStateSchema, type WatchStateRequest } from "@magnolialock/protocol";
import type { AgentContext } from "./agentContext.ts";

type AgentStateInit = MessageInitShape<typeof AgentStateSchema>;

const MIN_REPORT_PERIOD_MS = 50;

/** Tells one entry which prefixes entered or left the cache since the last report. */
class PrefixReport {
    private told = new Set<string>();

    public take(
        prefixes: readonly string[],
    ): { readonly cachedPrefixes: string[]; readonly evictedPrefixes: string[]; } {
        const present = new Set(prefixes);
        const cachedPrefixes = prefixes.filter(prefix => !this.told.has(prefix));
        const evictedPrefixes = [...this.told].filter(prefix => !present.has(prefix));
        this.told = present;
        return { cachedPrefixes, evictedPrefixes };
    }
}

/**
 * Describes the agent's state.
 *
 * @param context - the agent
 * @returns the state without what a single report adds
 */
export const describeState = (context: AgentContext): AgentStateInit => ({
    server: context.server,
    incarnation: context.incarnation,
    revision: BigInt(context.configuration.current?.revision ?? 0),
    warmth: context.lease.warmth,
    limit: context.gate.isFresh ? context.limit : 0,
    running: context.admission.running,
    queued: context.admission.queued,
    isDraining: context.gate.isDraining,
    queueMs: Math.round(context.queueMs),
    latencyMs: Math.round(context.calls.latencyMs),
    watchingEntries: context.watchingEntries.count,
});

/**
 * Reports the state at once, at every change that matters and at least at every period.
 *
 * @param context - the agent
 * @param request - longest time between two reports
 * @param signal - ends the reports
 * @returns the reports
 */
export async function* watchState(
    context: AgentContext,
    request: WatchStateRequest,
    signal: AbortSignal,
): AsyncGenerator<AgentStateInit> {
    const periodMs = Math.max(request.periodMs, MIN_REPORT_PERIOD_MS);
    const prefixes = new PrefixReport();
    using _watch = context.watchingEntries.enter(request.entry);
    for (let sequence = 0n; !signal.aborted && !context.reportsEnd.signal.aborted; sequence++) {
        const changed = context.stateFeed.waitForChange(periodMs, signal);
        yield { ...describeState(context), ...prefixes.take(context.cachedPrefixes), sequence };
        await changed;
    }
}
