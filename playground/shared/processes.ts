/**
 * Starting and ending processes on loopback.
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

const HOST = "127.0.0.1";
const READY_TIMEOUT_MS = 15_000;
const READY_POLL_MS = 50;
const STOP_TIMEOUT_MS = 10_000;

/**
 * Finds free ports by binding them for a moment.
 *
 * @param count - how many
 * @returns the ports
 */
export const freePorts = async (count: number): Promise<number[]> => {
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
 * Waits until a URL answers well.
 *
 * @param url - what to ask
 * @throws Error after 15 s
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

/** Starts processes and ends exactly those. */
export class ProcessGroup implements AsyncDisposable {
    private readonly processes: ChildProcess[] = [];
    private readonly showLogs: boolean;

    public constructor(options: { readonly showLogs: boolean; }) {
        this.showLogs = options.showLogs;
    }

    /** Number of processes that were started. */
    public get size(): number {
        return this.processes.length;
    }

    /** Starts one of the built programs. */
    public start(program: string, args: readonly string[]): ChildProcess {
        const output = this.showLogs ? "inherit" : "ignore";
        return this.add(
            spawn(process.execPath, [`dist/${program}.js`, ...args], { stdio: ["ignore", output, output] }),
        );
    }

    /** Takes ownership of a process. */
    public add(child: ChildProcess): ChildProcess {
        this.processes.push(child);
        return child;
    }

    /** Ends all processes, gently first. */
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
