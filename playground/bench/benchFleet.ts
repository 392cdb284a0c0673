/**
 * Processes of the benchmark: one entry, with enough agents and backend servers that the entry is the bottleneck.
 */

import { spawn } from "node:child_process";
import { createHash } from "node:crypto";
import { readFileSync, writeFileSync } from "node:fs";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { freePorts, ProcessGroup, waitUntilReady } from "../shared/processes.ts";

/** Backend servers of each kind. */
const REPLICAS = 3;
/** Calls that each backend server bears; admission is not what is measured. */
const LIMIT = 2_000;
const BYTES_PER_KIB = 1_024;

/** API key of the benchmark's client account. */
export const BENCH_KEY = "key-bench";

/** A running benchmark fleet. */
export interface BenchFleet extends AsyncDisposable {
    /** Where callers reach the entry. */
    readonly entryUrl: string;
    /** A streaming backend server, without the load balancer. */
    readonly streamUrl: string;
    /** A backend server with short answers, without the load balancer. */
    readonly shortUrl: string;
    /** Resident memory of the entry, in bytes. */
    entryMemoryBytes(): number;
    /** Processor time of the entry so far, in milliseconds. */
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
            `server ${name} service=${kind} data-centre=bench agent=${address} cold=${LIMIT} warm=${LIMIT} queue=${LIMIT}`
        ),
        `account bench key=sha256:${hash} rate=1000000/s burst=1000000`,
    ];
    const path = join(await mkdtemp(join(tmpdir(), "magnolialock-bench-")), "rules");
    writeFileSync(path, lines.map(line => `${line} # bench\n`).join(""));
    return path;
};

const MILLISECONDS_PER_TICK = 10;
const USER_TIME_FIELD = 13;

/** Reads the processor time of a process from the process table, in milliseconds. */
const readCpuMs = (pid: number): number => {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]?.split(" ") ?? [];
    const ticks = Number(fields[USER_TIME_FIELD - 2]) + Number(fields[USER_TIME_FIELD - 1]);
    return ticks * MILLISECONDS_PER_TICK;
};

const readMemoryBytes = (pid: number): number => {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1]) * BYTES_PER_KIB;
};

/**
 * Starts the fleet.
 *
 * @returns the fleet, once the entry is ready
 */
export const startBenchFleet = async (): Promise<BenchFleet> => {
    const group = new ProcessGroup({ showLogs: false });
    const kinds = ["stream", "short"] as const;
    const ports = await freePorts(2 + kinds.length * REPLICAS * 2);
    const nextAddress = (): string => `127.0.0.1:${ports.pop()}`;
    const servers = kinds.flatMap(kind =>
        Array.from({ length: REPLICAS }, (_, index) => ({
            kind,
            name: `${kind}-${index + 1}`,
            address: nextAddress(),
            backend: nextAddress(),
        }))
    );
    const rules = await writeRules(servers);
    for (const { kind, name, address, backend } of servers) {
        group.add(
            spawn(process.execPath, ["--import=tsx", "playground/bench/clockedEngine.ts", backend, kind]),
        );
        group.start("magnolialock-agent", [
            ...["--instance", `agent-${name}`, "--data-centre", "bench", "--control", address],
            ...["--rules", rules, "--server", name, "--backend", backend],
        ]);
    }
    await Promise.all(servers.map(({ backend }) => waitUntilReady(`http://${backend}/load`)));
    const listen = nextAddress();
    const entry = group.start("magnolialock-entry", [
        ...["--instance", "entry-bench", "--data-centre", "bench", "--control", nextAddress()],
        ...["--rules", rules, "--listen", listen],
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
