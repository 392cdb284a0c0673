/**
 * The entry: the proxy that accepts callers' requests and routes them to agents.
 *
 * @packageDocumentation
 */

import "./shared/policies/adaptive.ts";
import "./shared/policies/leastOutstanding.ts";
import "./shared/policies/random.ts";
import "./shared/policies/roundRobin.ts";

export * from "./node/entryProgram.ts";
export * from "./node/httpApp.ts";
export * from "./node/httpServer.ts";
export * from "./shared/accountLimiter.ts";
export * from "./shared/agentPeer.ts";
export * from "./shared/entry.ts";
export * from "./shared/entryContext.ts";
export * from "./shared/entryEvents.ts";
export * from "./shared/routingPolicy.ts";
export * from "./types/caller.ts";
