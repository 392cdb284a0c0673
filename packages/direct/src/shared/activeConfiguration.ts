/**
 * The configuration in force, with its lookup tables.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import type { FleetConfiguration, ServiceSpec } from "../types/publishedState.ts";
import { RouteTable } from "./routeTable.ts";

/** Configuration in force, with its lookup tables. */
export interface ActiveConfiguration {
    /** The operator's configuration. */
    readonly configuration: FleetConfiguration;
    /** Routes by host and prefix. */
    readonly routes: RouteTable;
    /** Services by name. */
    readonly services: ReadonlyMap<ServiceName, ServiceSpec>;
}

/**
 * Builds the lookup tables of a configuration.
 *
 * @param configuration - the operator's configuration
 */
export const activateConfiguration = (configuration: FleetConfiguration): ActiveConfiguration => ({
    configuration,
    routes: new RouteTable(configuration.routes),
    services: new Map(configuration.services.map(service => [service.name, service])),
});
