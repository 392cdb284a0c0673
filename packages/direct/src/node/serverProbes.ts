/**
 * Finds out whether a backend server accepts connections.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, sleep, splitAddress } from "@magnolialock/kernel";
import { connect } from "node:net";
import type { ProbeResult } from "../types/call.ts";
import { CONNECT_TIMEOUT_MS } from "./serverConnection.ts";

/** Probes of backend servers; one connection serves all who ask at the same time. */
export class ServerProbes {
    private readonly running = new Map<Address, Promise<ProbeResult>>();

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /**
     * Opens a connection to a server and closes it again, without a request.
     *
     * @param address - address of the server
     */
    public async probe(address: Address): Promise<ProbeResult> {
        let probe = this.running.get(address);
        if (!probe) {
            probe = this.connectOnce(address);
            this.running.set(address, probe);
            void probe.then(() => this.running.delete(address));
        }
        return probe;
    }

    private async connectOnce(address: Address): Promise<ProbeResult> {
        const { host, port } = splitAddress(address);
        const socket = connect({ host, port });
        const ended = new AbortController();
        const connected = new Promise<ProbeResult>(resolve => {
            socket.once("connect", () => resolve("accepted"));
            // A connection that the server resets at once was accepted; other errors leave it open.
            socket.once(
                "error",
                (error: NodeJS.ErrnoException) =>
                    resolve(error.code === "ECONNREFUSED" ? "refused" : "silent"),
            );
        });
        const timeout = sleep(this.clock, CONNECT_TIMEOUT_MS, ended.signal)
            .then((): ProbeResult => "silent", (): ProbeResult => "silent");
        const result = await Promise.race([connected, timeout]);
        ended.abort();
        socket.destroy();
        return result;
    }
}
