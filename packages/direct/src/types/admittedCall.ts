/**
 * A call with what the configuration says about it.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import type { AccountSpec, RouteRule, ServiceSpec } from "./fleetPicture.ts";

/** A call that may be sent to a backend server. */
export interface AdmittedCall {
    /** Its route. */
    readonly route: RouteRule;
    /** Whose it is; undefined on public routes. */
    readonly account: AccountSpec | undefined;
    /** Its service. */
    readonly service: ServiceName;
    /** What the configuration says of the service. */
    readonly spec: ServiceSpec | undefined;
    /** Version of the configuration that decided. */
    readonly version: number;
}
