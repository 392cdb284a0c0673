/**
 * Interface to the network. Real processes use TCP and UDP, tests an in-process network.
 *
 * @packageDocumentation
 */

import type { DescService } from "@bufbuild/protobuf";
import type { ServiceImpl, Transport } from "@connectrpc/connect";
import type { Address } from "./brand.ts";

/** A service and its implementation. */
export interface ServiceBinding {
    /** Generated description of the service. */
    readonly service: DescService;
    /** Implementation of its methods. */
    readonly implementation: Partial<ServiceImpl<DescService>>;
}

/**
 * Pairs a service description with its implementation.
 *
 * @param service - generated description
 * @param implementation - methods
 * @returns the binding
 */
export const bindService = <T extends DescService>(
    service: T,
    implementation: Partial<ServiceImpl<T>>,
): ServiceBinding => ({ service, implementation: implementation as Partial<ServiceImpl<DescService>> });

/** Socket for datagrams, which may be lost, duplicated or reordered. */
export interface DatagramSocket extends AsyncDisposable {
    /**
     * Sends one datagram; a loss is not reported.
     *
     * @param to - address of the receiver
     * @param bytes - content, at most {@link MAX_DATAGRAM_BYTES}
     */
    send(to: Address, bytes: Uint8Array): void;
}

/** Largest datagram that common networks carry without fragmentation, in bytes. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Calls between processes of the system. */
export interface Network {
    /**
     * Returns the transport for calls to a peer. Its connection is opened on first use and reused.
     *
     * @param address - address of the peer
     * @returns a Connect transport
     */
    transportTo(address: Address): Transport;
    /**
     * Serves calls on an address.
     *
     * @param address - address to listen on
     * @param bindings - services to serve
     * @returns the listener; disposing it rejects new calls and closes the connections
     */
    listen(address: Address, bindings: readonly ServiceBinding[]): Promise<AsyncDisposable>;
    /**
     * Opens a datagram socket.
     *
     * @param address - address to bind
     * @param onDatagram - called for each datagram
     * @returns the socket
     */
    openDatagramSocket(
        address: Address,
        onDatagram: (from: Address, bytes: Uint8Array) => void,
    ): Promise<DatagramSocket>;
}
