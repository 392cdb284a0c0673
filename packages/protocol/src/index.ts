/**
 * Messages and services between the processes of the system. `npm run generate` generates the code in `gen`.
 *
 * @packageDocumentation
 */

export * from "./gen/magnolialock/v1/agent_pb.ts";
export * from "./gen/magnolialock/v1/control_pb.ts";
export * from "./gen/magnolialock/v1/direct_pb.ts";
export * from "./gen/magnolialock/v1/maps_pb.ts";
export * from "./gen/magnolialock/v1/operator_pb.ts";
