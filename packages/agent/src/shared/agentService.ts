/**
 * RPC handlers of the agent.
 *
 * @packageDocumentation
 */

import type { HandlerContext } from "@connectrpc/connect";
import { bindService, type ServiceBinding } from "@magnolialock/kernel";
import {
    AgentService,
    type RecallRequest,
    type RunEvent,
    type RunRequest,
    type SessionRequestBatch,
    type WatchStateRequest,
} from "@magnolialock/protocol";
import type { AgentContext } from "./agentContext.ts";
import { recallRequest } from "./recallRequest.ts";
import { runRequest } from "./runRequest.ts";
import { runSession } from "./runSession.ts";
import { runTicketed } from "./runTicketed.ts";
import { watchState } from "./watchState.ts";

const run = (context: AgentContext, request: RunRequest, signal: AbortSignal): AsyncIterable<RunEvent> =>
    request.isRepeatable ? runRequest(context, request, { signal }) : runTicketed(context, request);

/**
 * Creates the agent's RPC service.
 *
 * @param context - state of the agent
 * @returns the service binding to listen with
 */
export const createAgentService = (context: AgentContext): ServiceBinding =>
    bindService(AgentService, {
        run: (request: RunRequest, { signal }: HandlerContext) => run(context, request, signal),
        session: (requests: AsyncIterable<SessionRequestBatch>, handler: HandlerContext) =>
            runSession({
                requests,
                signal: AbortSignal.any([handler.signal, context.entryStreamsAbort.signal]),
                run: (request, signal) => run(context, request, signal),
            }),
        recall: (request: RecallRequest) => recallRequest(context, request),
        watchState: (request: WatchStateRequest, { signal }: HandlerContext) =>
            watchState(context, request, signal),
    });
