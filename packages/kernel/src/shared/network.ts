/**
 * The network as the tasks see it. Real processes use TCP and UDP, tests an in-process network.
 *
 * @packageDocumentation
 */

import type { DescService } from "@bufbuild/protobuf";
import type { ServiceImpl, Transport } from "@connectrpc/connect";
import type { Address } from "./brand.ts";

/** A service together with the code that answers its calls. */
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

/** A socket for datagrams that may be lost, repeated or reordered. */
export interface DatagramSocket extends AsyncDisposable {
    /**
     * Sends one datagram; losses are silent.
     *
     * @param to - address of the receiver
     * @param bytes - content, at most {@link MAX_DATAGRAM_BYTES}
     */
    send(to: Address, bytes: Uint8Array): void;
}

/** Largest datagram that crosses common networks in one piece, in bytes. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Calls between processes of the system. */
export interface Network {
    /**
     * Opens calls to a peer. Connections are made on first use and kept.
     *
     * @param address - address of the peer
     * @returns a connect transport
     */
    transportTo(address: Address): Transport;
    /**
     * Serves calls.
     *
     * @param address - address to listen on
     * @param bindings - services to serve
     * @returns the listener; disposing it stops new calls and closes connections
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
