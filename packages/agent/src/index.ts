/**
 * The agent beside a backend server.
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
