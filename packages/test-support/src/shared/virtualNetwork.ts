/**
 * In-process network for simulations: delivers calls and datagrams between processes on the virtual clock.
 *
 * @packageDocumentation
 */

import type { Address, Clock, DatagramSocket, Network, ServiceBinding } from "@magnolialock/kernel";
import type { Endpoint, NetworkCore, ResponseInterceptor, VirtualListener } from "./endpoint.ts";
import type { EndpointInfo } from "./link.ts";
import type { LinkTable } from "./link.ts";
import type { ProcessClock } from "./processClock.ts";
import { createVirtualTransport } from "./virtualTransport.ts";

/** Options of a {@link VirtualNetwork}. */
export interface VirtualNetworkOptions {
    /** Virtual clock that all processes share. */
    readonly clock: Clock;
    /** Links between endpoints. */
    readonly links: LinkTable;
    /** Whether to encode every RPC message to count its bytes; false by default. */
    readonly countBytes?: boolean;
}

/** Network of a simulated fleet, with its links, listeners and datagram sockets. */
export class VirtualNetwork implements NetworkCore {
    /** Virtual clock that all processes share. */
    public readonly clock: Clock;
    /** Links between endpoints. */
    public readonly links: LinkTable;
    /** Whether to encode every RPC message to count its bytes; false by default. */
    public readonly countBytes: boolean;
    /** Intercepts response messages; undefined delivers them unchanged. */
    public interceptResponse: ResponseInterceptor | undefined;
    private readonly listeners = new Map<Address, VirtualListener>();
    private readonly sockets = new Map<Address, {
        readonly endpoint: Endpoint;
        readonly onDatagram: (from: Address, bytes: Uint8Array) => void;
    }>();

    /** @param options - clock, links and whether to count bytes */
    public constructor(options: VirtualNetworkOptions) {
        this.clock = options.clock;
        this.links = options.links;
        this.countBytes = options.countBytes ?? false;
    }

    /**
     * Adds a process to the network.
     *
     * @param info - name and data centre of the process
     * @param process - clock of the process
     * @returns the endpoint, and the network interface that the process uses
     */
    public addEndpoint(
        info: EndpointInfo,
        process: ProcessClock,
    ): { readonly endpoint: Endpoint; readonly network: Network; } {
        const endpoint: Endpoint = {
            ...info,
            process,
            traffic: { sentBytes: 0, sentMessages: 0 },
            killListeners: new Set(),
            hybridClock: undefined,
        };
        return { endpoint, network: this.createNetworkFor(endpoint) };
    }

    /**
     * Kills a process: its open calls break, and its listeners and sockets are removed.
     *
     * @param endpoint - endpoint of the process
     */
    public kill(endpoint: Endpoint): void {
        endpoint.process.kill();
        this.removeEntriesOf(this.listeners, endpoint);
        this.removeEntriesOf(this.sockets, endpoint);
        for (const onKilled of [...endpoint.killListeners]) {
            onKilled();
        }
    }

    /**
     * Finds the listener at an address.
     *
     * @param address - address that a client calls
     * @returns the listener, or undefined when nothing listens there
     */
    public listenerAt(address: Address): VirtualListener | undefined {
        return this.listeners.get(address);
    }

    private removeEntriesOf(
        entriesByAddress: Map<Address, { readonly endpoint: Endpoint; }>,
        endpoint: Endpoint,
    ): void {
        for (const [address, entry] of [...entriesByAddress]) {
            if (entry.endpoint === endpoint) {
                entriesByAddress.delete(address);
            }
        }
    }

    private createNetworkFor(endpoint: Endpoint): Network {
        return {
            transportTo: address => createVirtualTransport(this, endpoint, address),
            listen: (address, bindings) => this.listen(endpoint, address, bindings),
            openDatagramSocket: (address, onDatagram) => this.openSocket(endpoint, address, onDatagram),
        };
    }

    private async listen(
        endpoint: Endpoint,
        address: Address,
        bindings: readonly ServiceBinding[],
    ): Promise<AsyncDisposable> {
        if (this.listeners.has(address)) {
            throw new Error(`listen EADDRINUSE: address already in use ${address}`);
        }
        const listener: VirtualListener = { endpoint, bindings };
        this.listeners.set(address, listener);
        return {
            [Symbol.asyncDispose]: async () => {
                if (this.listeners.get(address) === listener) {
                    this.listeners.delete(address);
                }
            },
        };
    }

    private async openSocket(
        endpoint: Endpoint,
        address: Address,
        onDatagram: (from: Address, bytes: Uint8Array) => void,
    ): Promise<DatagramSocket> {
        const socket = { endpoint, onDatagram };
        this.sockets.set(address, socket);
        return {
            send: (to, bytes) => this.sendDatagram(endpoint, address, to, bytes),
            [Symbol.asyncDispose]: async () => {
                if (this.sockets.get(address) === socket) {
                    this.sockets.delete(address);
                }
            },
        };
    }

    private sendDatagram(endpoint: Endpoint, from: Address, to: Address, bytes: Uint8Array): void {
        endpoint.traffic.sentBytes += bytes.length;
        endpoint.traffic.sentMessages++;
        const target = this.sockets.get(to);
        if (!target) {
            return;
        }
        const datagram = bytes.slice();
        for (
            let remainingCopies = this.links.sampleCopyCount(endpoint, target.endpoint);
            remainingCopies > 0;
            remainingCopies--
        ) {
            const delayMs = this.links.sampleDelayMs(endpoint, target.endpoint);
            this.clock.setTimer(
                delayMs,
                () => target.endpoint.process.run(() => target.onDatagram(from, datagram)),
            );
        }
    }
}
