/**
 * Task that polls the backend server's load reports.
 *
 * @packageDocumentation
 */

import { errorMessage, sleep, timeoutSignal } from "@magnolialock/kernel";
import type { BackendLoad } from "../types/backend.ts";
import type { AgentContext } from "./agentContext.ts";
import { backendRestarted, loadUnreadable } from "./agentEvents.ts";

const POLL_PERIOD_MS = 250;
const READ_TIMEOUT_MS = 1_000;

const readLoad = async (context: AgentContext, signal: AbortSignal): Promise<BackendLoad> => {
    using timeout = timeoutSignal(context.runtime.clock, READ_TIMEOUT_MS, signal);
    return await context.backend.readLoad(timeout.signal);
};

/** Applies a load report; returns the last known process identifier of the backend server. */
const applyLoad = (
    context: AgentContext,
    load: BackendLoad,
    requestedAtMs: number,
    lastProcessId: string | undefined,
): string | undefined => {
    const isRestarted = lastProcessId !== undefined && load.processId !== undefined
        && load.processId !== lastProcessId;
    if (isRestarted) {
        context.runtime.events.emit(backendRestarted, { processId: load.processId });
        context.lease.revoke("new process");
        context.inheritedLoad.clear();
    }
    context.inheritedLoad.recordReport(load, requestedAtMs, context.admission.running);
    context.cachedPrefixes = load.cachedPrefixes;
    return load.processId ?? lastProcessId;
};

/**
 * Polls load reports until the signal aborts. Of consecutive failures only the first is logged.
 *
 * @param context - state of the agent
 * @param signal - ends the task
 */
export const pollLoad = async (context: AgentContext, signal: AbortSignal): Promise<void> => {
    const { clock, events } = context.runtime;
    let processId: string | undefined;
    let isReadable = true;
    while (!signal.aborted) {
        const requestedAtMs = clock.nowMs();
        try {
            processId = applyLoad(context, await readLoad(context, signal), requestedAtMs, processId);
            isReadable = true;
        }
        catch (error) {
            if (isReadable && !signal.aborted) {
                events.emit(loadUnreadable, { error: errorMessage(error) });
            }
            isReadable = false;
        }
        await sleep(clock, POLL_PERIOD_MS, signal).catch(() => {});
    }
};
