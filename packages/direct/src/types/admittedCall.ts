/**
 * Request that passed admission, with its route, account and service.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import type { AccountSpec, RouteRule, ServiceSpec } from "./publishedState.ts";

/** A request that may be sent to a backend server. */
export interface AdmittedCall {
    /** Route of the request. */
    readonly route: RouteRule;
    /**
     * Account of the caller; undefined if the request has none, which only public routes and configurations
     * without keys allow.
     */
    readonly account: AccountSpec | undefined;
    /** Service that was selected for the request. */
    readonly service: ServiceName;
    /** Configuration of the service; undefined if the configuration does not list it. */
    readonly spec: ServiceSpec | undefined;
    /** Version of the configuration that was used. */
    readonly version: number;
}
