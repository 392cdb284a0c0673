/**
 * Processes as the in-process network sees them.
 *
 * @packageDocumentation
 */

import type { DescMethod, Message } from "@bufbuild/protobuf";
import type { Address, Clock, HybridClock, ServiceBinding } from "@magnolialock/kernel";
import type { EndpointInfo, LinkTable } from "./link.ts";
import type { ProcessClock } from "./processClock.ts";

/** Bytes and messages that an endpoint has sent. */
export interface TrafficCounters {
    /** Bytes of encoded messages and datagrams. */
    sentBytes: number;
    /** Messages of calls and datagrams. */
    sentMessages: number;
}

/** One process on the network. */
export interface Endpoint extends EndpointInfo {
    /** Clock of the process; deliveries go through it. */
    readonly process: ProcessClock;
    /** What it has sent. */
    readonly traffic: TrafficCounters;
    /** Calls to break when the process is killed. */
    readonly openCalls: Set<() => void>;
    /** Clock whose time its messages carry; set once its event log exists. */
    hybridClock: HybridClock | undefined;
}

/** One message of an answer on its way. */
export interface AnswerMessage {
    /** Who sends it. */
    readonly from: EndpointInfo;
    /** Who gets it. */
    readonly to: EndpointInfo;
    /** Method that it answers. */
    readonly method: DescMethod;
    /** The message. */
    readonly message: Message;
}

/**
 * Changes messages of answers on their way.
 *
 * @param answer - the message
 * @returns what arrives instead
 */
export type AnswerTamper = (answer: AnswerMessage) => Message;

/** A server side that accepts calls. */
export interface VirtualListener {
    /** Process that listens. */
    readonly endpoint: Endpoint;
    /** Services it answers. */
    readonly bindings: readonly ServiceBinding[];
}

/** Time after which a connection over a cut link breaks, in milliseconds. */
export const CONNECTION_TIMEOUT_MS = 3_000;

/** What a call needs to know of the network. */
export interface NetworkCore {
    /** Clock of the fleet. */
    readonly clock: Clock;
    /** Links between endpoints. */
    readonly links: LinkTable;
    /** Whether to encode every message to count its bytes. */
    readonly countBytes: boolean;
    /** Changes messages of answers on their way; undefined leaves them alone. */
    readonly tamper: AnswerTamper | undefined;
    /**
     * Finds who accepts calls at an address.
     *
     * @param address - the address
     */
    listenerAt(address: Address): VirtualListener | undefined;
}
