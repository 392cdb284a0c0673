/**
 * Stream of state reports to an entry.
 *
 * @packageDocumentation
 */

import type { MessageInitShape } from "@bufbuild/protobuf";
import { type AgentStateSchema, type WatchStateRequest } from "@magnolialock/protocol";
import type { AgentContext } from "./agentContext.ts";

type AgentStateInit = MessageInitShape<typeof AgentStateSchema>;

const MIN_REPORT_PERIOD_MS = 50;

/** Computes which prompt prefixes entered or left the cache since the last report to one entry. */
class PrefixChanges {
    private reported = new Set<string>();

    public next(
        prefixes: readonly string[],
    ): { readonly cachedPrefixes: string[]; readonly evictedPrefixes: string[]; } {
        const present = new Set(prefixes);
        const cachedPrefixes = prefixes.filter(prefix => !this.reported.has(prefix));
        const evictedPrefixes = [...this.reported].filter(prefix => !present.has(prefix));
        this.reported = present;
        return { cachedPrefixes, evictedPrefixes };
    }
}

/**
 * Describes the agent's state.
 *
 * @param context - state of the agent
 * @returns the state without the fields that depend on the single report
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
 * Reports the state at once, after every change that entries need to know and at least once in every period.
 *
 * @param context - state of the agent
 * @param request - name of the entry and longest time between two reports
 * @param signal - ends the reports
 * @returns the reports
 */
export async function* watchState(
    context: AgentContext,
    request: WatchStateRequest,
    signal: AbortSignal,
): AsyncGenerator<AgentStateInit> {
    const periodMs = Math.max(request.periodMs, MIN_REPORT_PERIOD_MS);
    const prefixes = new PrefixChanges();
    using _watch = context.watchingEntries.register(request.entry);
    for (let sequence = 0n; !signal.aborted && !context.entryStreamsAbort.signal.aborted; sequence++) {
        const changed = context.stateChanges.waitForChange(periodMs, signal);
        yield { ...describeState(context), ...prefixes.next(context.cachedPrefixes), sequence };
        await changed;
    }
}
