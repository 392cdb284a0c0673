/**
 * Members of a virtual fleet, each with its present life.
 *
 * @packageDocumentation
 */

import type { Agent } from "@magnolialock/agent";
import type { Entry } from "@magnolialock/entry";
import type { VirtualRuntime } from "@magnolialock/test-support";
import type { EngineModel } from "../standIns/engineModel.ts";
import type { PlainModel } from "../standIns/plainModel.ts";
import type { FleetServer } from "./fleetRules.ts";

/** One backend server with its agent. */
export interface FleetBackend {
    /** Its rule. */
    readonly server: FleetServer;
    /** The engine, for model services. */
    readonly engine: EngineModel | undefined;
    /** The service, for plain services. */
    readonly plain: PlainModel | undefined;
    /** Surroundings of the agent's present life. */
    runtime: VirtualRuntime;
    /** The agent's present life. */
    agent: Agent;
}

/** One entry. */
export interface FleetEntry {
    /** Its name. */
    readonly name: string;
    /** Its data centre. */
    readonly dataCentre: string;
    /** Surroundings of its present life. */
    runtime: VirtualRuntime;
    /** Its present life. */
    entry: Entry;
}
