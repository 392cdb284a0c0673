/**
 * Programs as child processes of a test.
 *
 * @packageDocumentation
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFile } from "node:fs/promises";

const BYTES_PER_KIB = 1_024;

/** A program in a child process, with its captured output; disposing it kills it if it still runs. */
export class ProgramProcess implements AsyncDisposable {
    /** Captured standard output. */
    public output = "";
    /** Captured standard error. */
    public errors = "";
    private readonly exited: Promise<unknown>;

    private constructor(private readonly child: ChildProcess) {
        child.stdout?.on("data", (chunk: Buffer) => this.output += chunk.toString());
        child.stderr?.on("data", (chunk: Buffer) => this.errors += chunk.toString());
        this.exited = once(child, "exit");
    }

    /**
     * Starts a program.
     *
     * @param module - path of its main module, or of the file it was built into
     * @param args - its arguments
     * @returns the process
     */
    public static start(module: string, args: readonly string[]): ProgramProcess {
        const loader = module.endsWith(".ts") ? ["--import=tsx"] : [];
        return new ProgramProcess(
            spawn(process.execPath, [...loader, module, ...args], { stdio: ["ignore", "pipe", "pipe"] }),
        );
    }

    /** Whether the process has not ended. */
    public get isRunning(): boolean {
        return typeof this.child.exitCode !== "number" && typeof this.child.signalCode !== "string";
    }

    /**
     * Reads the resident memory of the process.
     *
     * @returns the size, in bytes
     * @throws if the process has ended
     */
    public async rssBytes(): Promise<number> {
        const status = await readFile(`/proc/${this.child.pid}/status`, "utf8");
        return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * BYTES_PER_KIB;
    }

    /**
     * Sends a signal.
     *
     * @param name - the signal
     */
    public signal(name: NodeJS.Signals): void {
        this.child.kill(name);
    }

    /**
     * Waits for the end of the process.
     *
     * @returns its exit code; undefined if a signal ended it
     */
    public async exitCode(): Promise<number | undefined> {
        await this.exited;
        return this.child.exitCode ?? undefined;
    }

    /** Kills the process if it still runs. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.child.kill("SIGKILL");
        await this.exited;
    }
}
