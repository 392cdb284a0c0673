/**
 * Members of a virtual fleet. A replaced process keeps its record here; its runtime and its service change.
 *
 * @packageDocumentation
 */

import type { Agent } from "@magnolialock/agent";
import type { Entry } from "@magnolialock/entry";
import type { VirtualRuntime } from "@magnolialock/test-support";
import type { SimulatedEngine } from "../standIns/simulatedEngine.ts";
import type { SimulatedPlainService } from "../standIns/simulatedPlainService.ts";
import type { FleetServer } from "./fleetRules.ts";

/** A backend server and its agent. */
export interface FleetBackend {
    /** Name, service and addresses of the backend server, as in its rule. */
    readonly server: FleetServer;
    /** Simulated engine; undefined for plain services. */
    readonly engine: SimulatedEngine | undefined;
    /** Simulated service; undefined for model services. */
    readonly plain: SimulatedPlainService | undefined;
    /** Runtime of the agent's current process. */
    runtime: VirtualRuntime;
    /** Agent of the current process. */
    agent: Agent;
}

/** An entry. */
export interface FleetEntry {
    /** Name of the entry. */
    readonly name: string;
    /** Data centre of the entry. */
    readonly dataCentre: string;
    /** Runtime of the entry's current process. */
    runtime: VirtualRuntime;
    /** Entry of the current process. */
    entry: Entry;
}
