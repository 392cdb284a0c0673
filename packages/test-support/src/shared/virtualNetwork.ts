/**
 * In-process network under the real tasks: calls and datagrams cross links on the virtual clock.
 *
 * @packageDocumentation
 */

import type { Address, Clock, DatagramSocket, Network, ServiceBinding } from "@magnolialock/kernel";
import type { AnswerTamper, Endpoint, NetworkCore, VirtualListener } from "./endpoint.ts";
import type { EndpointInfo } from "./link.ts";
import type { LinkTable } from "./link.ts";
import type { ProcessClock } from "./processClock.ts";
import { createVirtualTransport } from "./virtualTransport.ts";

/** Options of a {@link VirtualNetwork}. */
export interface VirtualNetworkOptions {
    /** Clock of the fleet. */
    readonly clock: Clock;
    /** Links between endpoints. */
    readonly links: LinkTable;
    /** Whether to encode every message to count its bytes. */
    readonly countBytes?: boolean;
}

/** All endpoints, listeners and links of a simulated fleet. */
export class VirtualNetwork implements NetworkCore {
    /** Clock of the fleet. */
    public readonly clock: Clock;
    /** Links between endpoints. */
    public readonly links: LinkTable;
    /** Whether to encode every message to count its bytes. */
    public readonly countBytes: boolean;
    /** Changes messages of answers on their way; undefined leaves them alone. */
    public tamper: AnswerTamper | undefined;
    private readonly listeners = new Map<Address, VirtualListener>();
    private readonly sockets = new Map<Address, {
        readonly endpoint: Endpoint;
        readonly onDatagram: (from: Address, bytes: Uint8Array) => void;
    }>();

    /** @param options - clock, links and counting */
    public constructor(options: VirtualNetworkOptions) {
        this.clock = options.clock;
        this.links = options.links;
        this.countBytes = options.countBytes ?? false;
    }

    /**
     * Adds a process.
     *
     * @param info - name and data centre
     * @param process - its clock
     * @returns the endpoint, and the network as the process sees it
     */
    public addEndpoint(
        info: EndpointInfo,
        process: ProcessClock,
    ): { readonly endpoint: Endpoint; readonly network: Network; } {
        const endpoint: Endpoint = {
            ...info,
            process,
            traffic: { sentBytes: 0, sentMessages: 0 },
            openCalls: new Set(),
            hybridClock: undefined,
        };
        return { endpoint, network: this.networkOf(endpoint) };
    }

    /**
     * Kills a process: its calls break, its listeners and sockets vanish.
     *
     * @param endpoint - the process
     */
    public kill(endpoint: Endpoint): void {
        endpoint.process.kill();
        this.removeOf(this.listeners, endpoint);
        this.removeOf(this.sockets, endpoint);
        for (const breakCall of [...endpoint.openCalls]) {
            breakCall();
        }
    }

    /**
     * Finds who accepts calls at an address.
     *
     * @param address - the address
     * @returns the listener, or undefined
     */
    public listenerAt(address: Address): VirtualListener | undefined {
        return this.listeners.get(address);
    }

    private removeOf(table: Map<Address, { readonly endpoint: Endpoint; }>, endpoint: Endpoint): void {
        for (const [address, entry] of [...table]) {
            if (entry.endpoint === endpoint) {
                table.delete(address);
            }
        }
    }

    private networkOf(endpoint: Endpoint): Network {
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
        const copy = bytes.slice();
        for (let copies = this.links.drawCopies(endpoint, target.endpoint); copies > 0; copies--) {
            const delayMs = this.links.drawDelayMs(endpoint, target.endpoint);
            this.clock.setTimer(
                delayMs,
                () => target.endpoint.process.run(() => target.onDatagram(from, copy)),
            );
        }
    }
}
