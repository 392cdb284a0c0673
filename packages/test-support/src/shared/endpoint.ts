/**
 * Processes and listeners on the in-process network.
 *
 * @packageDocumentation
 */

import type { DescMethod, Message } from "@bufbuild/protobuf";
import type { Address, Clock, HybridClock, ServiceBinding } from "@magnolialock/kernel";
import type { EndpointInfo, LinkTable } from "./link.ts";
import type { ProcessClock } from "./processClock.ts";

/** Traffic that an endpoint has sent. */
export interface TrafficCounters {
    /** Bytes of datagrams and, where they are counted, of encoded RPC messages. */
    sentBytes: number;
    /** Number of RPC messages and datagrams. */
    sentMessages: number;
}

/** One process on the network. */
export interface Endpoint extends EndpointInfo {
    /** Clock of the process, through which every delivery to it runs. */
    readonly process: ProcessClock;
    /** Traffic that the process has sent. */
    readonly traffic: TrafficCounters;
    /** Called when the process is killed; each one breaks an open call. */
    readonly killListeners: Set<() => void>;
    /** Hybrid clock that stamps the sent messages; set once the event log of the process exists. */
    hybridClock: HybridClock | undefined;
}

/** One message in flight from the server to the client of a call. */
export interface ResponseMessage {
    /** Endpoint that sends the message. */
    readonly from: EndpointInfo;
    /** Endpoint that receives the message. */
    readonly to: EndpointInfo;
    /** Method that was called. */
    readonly method: DescMethod;
    /** The message. */
    readonly message: Message;
}

/**
 * Intercepts a response message in flight and may replace it.
 *
 * @param answer - the sent message, with its endpoints and method
 * @returns the message to deliver
 */
export type ResponseInterceptor = (answer: ResponseMessage) => Message;

/** Server that accepts calls at an address. */
export interface VirtualListener {
    /** Endpoint of the listening process. */
    readonly endpoint: Endpoint;
    /** Services that the process implements. */
    readonly bindings: readonly ServiceBinding[];
}

/** Time after which a connection over a link that stays cut breaks, in milliseconds. */
export const CONNECTION_TIMEOUT_MS = 3_000;

/** Part of the network that calls depend on. */
export interface NetworkCore {
    /** Virtual clock that all processes share. */
    readonly clock: Clock;
    /** Links between endpoints. */
    readonly links: LinkTable;
    /** Whether to encode every RPC message to count its bytes. */
    readonly countBytes: boolean;
    /** Intercepts response messages; undefined delivers them unchanged. */
    readonly interceptResponse: ResponseInterceptor | undefined;
    /**
     * Finds the listener at an address.
     *
     * @param address - address that a client calls
     * @returns the listener, or undefined when nothing listens there
     */
    listenerAt(address: Address): VirtualListener | undefined;
}
