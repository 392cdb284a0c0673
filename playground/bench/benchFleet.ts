/**
 * Starts the processes of the benchmark: one entry, and enough agents and backend servers that the entry is
 * the bottleneck.
 */

import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { findFreePorts, ProcessGroup, waitUntilReady } from "../shared/processes.ts";

/** Number of backend servers of each kind. */
const REPLICAS = 3;
/** Concurrency limit of each backend server: so high that admission never affects the measurements. */
const CONCURRENCY_LIMIT = 2_000;
const BYTES_PER_KIB = 1_024;

/** API key of the benchmark's client account. */
export const BENCH_KEY = "key-bench";

/** A running benchmark fleet. */
export interface BenchFleet extends AsyncDisposable {
    /** Base URL of the entry. */
    readonly entryUrl: string;
    /** Base URL of a streaming backend server, to bypass the load balancer. */
    readonly streamUrl: string;
    /** Base URL of a backend server with short responses, to bypass the load balancer. */
    readonly shortUrl: string;
    /** Reads the resident set size of the entry, in bytes. */
    entryMemoryBytes(): number;
    /** Reads the CPU time that the entry has used so far, in milliseconds. */
    entryCpuMs(): number;
}

const writeRules = async (
    agents: readonly { readonly name: string; readonly kind: string; readonly address: string; }[],
) => {
    const hash = createHash("sha256").update(BENCH_KEY).digest("hex");
    const lines = [
        "data-centre bench region=bench",
        "service stream kind=model deadline=600s",
        "service short kind=plain deadline=600s",
        ...agents.map(({ name, kind, address }) =>
            `server ${name} service=${kind} data-centre=bench agent=${address} cold=${CONCURRENCY_LIMIT} warm=${CONCURRENCY_LIMIT} queue=${CONCURRENCY_LIMIT}`
        ),
        `account bench key=sha256:${hash} rate=1000000/s burst=1000000`,
    ];
    const rulesPath = join(await mkdtemp(join(tmpdir(), "magnolialock-bench-")), "rules");
    writeFileSync(rulesPath, lines.map(line => `${line} # bench\n`).join(""));
    return rulesPath;
};

const MILLISECONDS_PER_TICK = 10;
/** Index of `utime` in `/proc/PID/stat`, counted from 0; `stime` follows it. */
const USER_TIME_FIELD = 13;

/** Reads the user and system CPU time of a process from `/proc/PID/stat`, in milliseconds. */
const readCpuMs = (pid: number): number => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    const cpuTicks = Number(fields[USER_TIME_FIELD - 2]) + Number(fields[USER_TIME_FIELD - 1]);
    return cpuTicks * MILLISECONDS_PER_TICK;
};

const readMemoryBytes = (pid: number): number => {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1]) * BYTES_PER_KIB;
};

/**
 * Starts the benchmark fleet.
 *
 * @returns the fleet, once the entry is ready
 */
export const startBenchFleet = async (): Promise<BenchFleet> => {
    const group = new ProcessGroup({ showLogs: false });
    const kinds = ["stream", "short"] as const;
    const ports = await findFreePorts(2 + kinds.length * REPLICAS * 2);
    const nextAddress = (): string => `127.0.0.1:${ports.pop()}`;
    const servers = kinds.flatMap(kind =>
        Array.from({ length: REPLICAS }, (_, index) => ({
            kind,
            name: `${kind}-${index + 1}`,
            address: nextAddress(),
            backend: nextAddress(),
        }))
    );
    const rulesPath = await writeRules(servers);
    for (const { kind, name, address, backend } of servers) {
        group.add(
            spawn(process.execPath, [
                "--import=tsx",
                "playground/bench/timestampingBackend.ts",
                backend,
                kind,
            ]),
        );
        group.start("magnolialock-agent", [
            ...["--instance", `agent-${name}`, "--data-centre", "bench", "--control", address],
            ...["--rules", rulesPath, "--server", name, "--backend", backend],
        ]);
    }
    await Promise.all(servers.map(({ backend }) => waitUntilReady(`http://${backend}/load`)));
    const listen = nextAddress();
    const entry = group.start("magnolialock-entry", [
        ...["--instance", "entry-bench", "--data-centre", "bench", "--control", nextAddress()],
        ...["--rules", rulesPath, "--listen", listen],
    ]);
    await waitUntilReady(`http://${listen}/readyz`);
    const pid = entry.pid as number;
    const urlOf = (kind: string): string => `http://${servers.find(server => server.kind === kind)?.backend}`;
    return {
        entryUrl: `http://${listen}`,
        streamUrl: urlOf("stream"),
        shortUrl: urlOf("short"),
        entryMemoryBytes: () => readMemoryBytes(pid),
        entryCpuMs: () => readCpuMs(pid),
        [Symbol.asyncDispose]: () => group[Symbol.asyncDispose](),
    };
};
