/**
 * Branded identifiers. A brand prevents one kind of identifier from being passed where another is expected.
 *
 * @packageDocumentation
 */

declare const brand: unique symbol;

/** A `Base` value that carries the compile-time name `Name`. */
export type Brand<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Name of one process of the system, unique in the fleet. */
export type InstanceId = Brand<string, "InstanceId">;
/** Identifier of one run of a process; a restarted process gets a new one. */
export type IncarnationId = Brand<string, "IncarnationId">;
/** Name of a data centre. */
export type DataCentreId = Brand<string, "DataCentreId">;
/** Name of a client account. */
export type ClientAccountId = Brand<string, "ClientAccountId">;
/** Name of a backend server. */
export type BackendServerId = Brand<string, "BackendServerId">;
/** Name of a service that callers use. */
export type ServiceName = Brand<string, "ServiceName">;
/** Name of a group of ranks. */
export type GroupName = Brand<string, "GroupName">;
/** Identifier of a caller's request, the same for all its attempts. */
export type RequestId = Brand<string, "RequestId">;
/** Revision of the configuration, as numbered by the platform. */
export type Revision = Brand<number, "Revision">;
/**
 * Number of a life of the platform's store. It rises each time the store returns from an older copy, after which
 * revisions are given out again.
 */
export type StoreEra = Brand<number, "StoreEra">;
/** Network address `ip:port`. */
export type Address = Brand<string, "Address">;

/**
 * Converts a plain value to the branded type that the context expects.
 *
 * @param value - the plain value
 * @returns the same value, branded
 */
export const branded = <T extends Brand<string | number, string>>(
    value: T extends string ? string : number,
): T => value as unknown as T;
