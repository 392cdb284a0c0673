/**
 * Agent: the sidecar of a backend server, through which all calls to that server pass.
 *
 * @packageDocumentation
 */

export * from "./node/agentProgram.ts";
export * from "./node/httpBackend.ts";
export * from "./shared/agent.ts";
export * from "./shared/agentContext.ts";
export * from "./shared/agentEvents.ts";
export * from "./shared/latencyLimit.ts";
export * from "./shared/refusedError.ts";
export * from "./shared/ticket.ts";
export * from "./types/backend.ts";
