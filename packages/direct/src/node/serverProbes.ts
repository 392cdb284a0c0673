/**
 * Finds out whether a backend server accepts connections.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, sleep, splitAddress } from "@magnolialock/kernel";
import { connect } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import type { ProbeResult } from "../types/call.ts";
import { FreshCalls } from "./freshCalls.ts";
import { CONNECT_TIMEOUT_MS } from "./serverConnection.ts";

/**
 * Time for which a connection must stay open to count as accepted, in milliseconds. The operating system of a killed process
 * closes its connections one after the other and may close the listening socket last; what was accepted until then is reset.
 */
const HOLD_MS = 20;
/** Connections that a probe opens while the server resets them. */
const MAX_CONNECTIONS = 3;

/** How a connection of a probe ended. */
type ConnectionResult = ProbeResult | "reset";

/** Probes of backend servers; one connection at a time serves all who ask for the same server. */
export class ServerProbes {
    private readonly calls = new FreshCalls<Address, ProbeResult>();

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /**
     * Opens a connection to a server and closes it again, without a request. A connection that has been opened before the call
     * says nothing: it may have been accepted before whatever the caller has seen.
     *
     * @param address - address of the server
     */
    public probe(address: Address): Promise<ProbeResult> {
        return this.calls.ask(address, () => this.connect(address));
    }

    private async connect(address: Address): Promise<ProbeResult> {
        let result: ConnectionResult = "reset";
        for (let connections = 0; result === "reset" && connections < MAX_CONNECTIONS; connections++) {
            result = await this.connectOnce(address);
        }
        // A server may reset connections beyond its limit.
        return result === "reset" ? "accepted" : result;
    }

    private async connectOnce(address: Address): Promise<ConnectionResult> {
        const { host, port } = splitAddress(address);
        const socket = connect({ host, port });
        const ended = new AbortController();
        const wait = (ms: number, result: ConnectionResult): Promise<ConnectionResult> =>
            // Timers run before sockets are read.
            sleep(this.clock, ms, ended.signal).then(() => nextTurn()).then(() => result, () => result);
        const failed = new Promise<ConnectionResult>(resolve => {
            socket.once(
                "error",
                ({ code }: NodeJS.ErrnoException) =>
                    resolve(code === "ECONNREFUSED" ? "refused" : code === "ECONNRESET" ? "reset" : "silent"),
            );
            socket.once("end", () => resolve("reset"));
        });
        const connected = new Promise<ConnectionResult>(resolve => {
            socket.once("connect", () => resolve(wait(HOLD_MS, "accepted")));
        });
        socket.resume();
        const result = await Promise.race([connected, failed, wait(CONNECT_TIMEOUT_MS, "silent")]);
        ended.abort();
        socket.destroy();
        return result;
    }
}
