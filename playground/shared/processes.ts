/**
 * Starts and stops processes on loopback.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

const HOST = "127.0.0.1";
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;
const STOP_TIMEOUT_MS = 10_000;

/**
 * Finds free ports by binding them briefly. Another process may bind a port before the caller does.
 *
 * @param count - number of ports
 * @returns the port numbers, all different
 */
export const findFreePorts = async (count: number): Promise<number[]> => {
    const servers = await Promise.all(Array.from({ length: count }, async () => {
        const server = createServer();
        await new Promise<void>(resolve => server.listen(0, HOST, resolve));
        return server;
    }));
    const ports = servers.map(server => (server.address() as { readonly port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

/**
 * Polls a URL until it responds with a success status.
 *
 * @param url - URL to request
 * @throws Error when there is no success within 15 s
 */
export const waitUntilReady = async (url: string): Promise<void> => {
    const endMs = Date.now() + READY_TIMEOUT_MS;
    while (Date.now() < endMs) {
        const isReady = await fetch(url).then(response => response.ok, () => false);
        if (isReady) {
            return;
        }
        await delay(READY_POLL_MS);
    }
    throw new Error(`${url} is not ready after ${READY_TIMEOUT_MS} ms`);
};

/** Starts processes, and stops only the processes that belong to the group. */
export class ProcessGroup implements AsyncDisposable {
    private readonly processes: ChildProcess[] = [];
    private readonly showLogs: boolean;

    public constructor(options: { readonly showLogs: boolean; }) {
        this.showLogs = options.showLogs;
    }

    /** Number of processes in the group, running or not. */
    public get size(): number {
        return this.processes.length;
    }

    /** Starts one of the programs in `dist/`. */
    public start(program: string, args: readonly string[]): ChildProcess {
        const output = this.showLogs ? "inherit" : "ignore";
        return this.add(
            spawn(process.execPath, [`dist/${program}.js`, ...args], { stdio: ["ignore", output, output] }),
        );
    }

    /** Adds a process, which the group stops when it is disposed. */
    public add(child: ChildProcess): ChildProcess {
        this.processes.push(child);
        return child;
    }

    /** Stops all processes with SIGTERM, and with SIGKILL those that still run 10 s later. */
    public async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.processes.map(child => this.stop(child)));
    }

    private async stop(child: ChildProcess): Promise<void> {
        if (child.exitCode !== null || child.signalCode !== null) {
            return;
        }
        const exited = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
        await exited;
        clearTimeout(timer);
    }
}
