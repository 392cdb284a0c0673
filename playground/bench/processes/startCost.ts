/**
 * Measures the processor time that the programs of the platform take until they are ready, and while they are
 * idle afterwards. Several builds are measured in turn, so that other load on the machine affects them alike.
 *
 * `tsx playground/bench/processes/startCost.ts [--runs N] [--idle SECONDS] FOLDER...`
 */

import { createSystemClock, sleep } from "@magnolialock/kernel";
import { BackendStandIn, StoreStandIn } from "@magnolialock/lab";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import yargs from "yargs";
import {
    createSettingsFile,
    isReady,
    LOOPBACK,
    operatorConfiguration,
    serverItem,
} from "../../../platform/__tests__/platformFixture.ts";

const PROBE = join(import.meta.dirname, "costProbe.cjs");
/** Time between checks whether a program is ready, in milliseconds. */
const POLL_MS = 10;
const PERCENT = 100;
const US_PER_MS = 1_000;
const MS_PER_S = 1_000;

const { _: folders, runs, idle } = await yargs(process.argv.slice(2))
    .option("runs", { type: "number", default: 15, description: "Starts of each program" })
    .option("idle", { type: "number", default: 0, description: "Seconds to measure after the start" })
    .parse();

/** The flags of `deploy/system.toml`. */
const PROGRAMS = {
    entry: {
        file: "magnolialock-platform-entry.js",
        flags: ["--optimize-for-size", "--max-semi-space-size=2", "--max-old-space-size=160"],
        args: [],
    },
    rank: {
        file: "magnolialock-platform-rank.js",
        flags: ["--optimize-for-size", "--max-semi-space-size=1", "--max-old-space-size=100"],
        args: [],
    },
};

const clock = createSystemClock();
const scratch = await mkdtemp(join(tmpdir(), "start-cost-"));

const readCpuMs = async (child: ChildProcess): Promise<number> => {
    const { stderr } = child;
    if (!stderr) {
        throw new Error("standard error of the program is not captured");
    }
    child.kill("SIGUSR2");
    const [chunk] = await once(stderr, "data") as [Buffer];
    const [, user, system] = chunk.toString().trim().split(" ").map(Number);
    return ((user ?? 0) + (system ?? 0)) / US_PER_MS;
};

/** Processor time until ready and per idle second, in milliseconds. */
interface Cost {
    readonly startMs: number;
    readonly readyAfterMs: number;
    readonly idleMsPerS: number;
}

const measure = async (
    folder: string,
    { args, file, flags }: (typeof PROGRAMS)[keyof typeof PROGRAMS],
    settings: unknown,
    untilReady: () => Promise<void>,
): Promise<Cost> => {
    const path = join(scratch, "boot.json");
    await writeFile(path, JSON.stringify(settings));
    const startedMs = clock.nowMs();
    const child = spawn(process.execPath, [...flags, "--require", PROBE, join(folder, file), ...args], {
        env: { ...process.env, MAGNOLIALOCK_SETTINGS: path },
        stdio: ["ignore", "ignore", "pipe"],
    });
    await untilReady();
    const readyAfterMs = clock.nowMs() - startedMs;
    const startMs = await readCpuMs(child);
    let idleMsPerS = 0;
    if (idle > 0) {
        // The first second still contains work of the start.
        await sleep(clock, MS_PER_S);
        const fromMs = await readCpuMs(child);
        await sleep(clock, idle * MS_PER_S);
        idleMsPerS = (await readCpuMs(child) - fromMs) / idle;
    }
    child.kill("SIGKILL");
    await once(child, "exit");
    return { startMs, readyAfterMs, idleMsPerS };
};

const measureEntry = async (folder: string): Promise<Cost> => {
    await using store = new StoreStandIn(clock);
    await store.listen(LOOPBACK);
    await using server = new BackendStandIn({ clock, id: "i-1" });
    await server.listen(LOOPBACK);
    store.put("op/config", operatorConfiguration(1));
    store.put("servers/i-1", serverItem(server));
    const settings = await createSettingsFile(store.address);
    return await measure(folder, PROGRAMS.entry, settings, async () => {
        while (!await isReady(settings.listen_addresses.readiness)) {
            await sleep(clock, POLL_MS);
        }
    });
};

const measureRank = async (folder: string): Promise<Cost> => {
    const entry = createServer((_, response) => response.writeHead(503).end());
    await once(entry.listen(0, "127.0.0.1"), "listening");
    const { port } = entry.address() as AddressInfo;
    const file = await createSettingsFile(`127.0.0.1:${port}` as never);
    const settings = {
        ...file,
        internal_port_range: [port, port],
        ip_address: "127.0.0.2",
        seed_nodes: [`127.0.0.1:${port}`],
        app: "127.0.0.1:1",
        service: "drafts",
    };
    const cost = await measure(folder, PROGRAMS.rank, settings, async () => {
        await once(entry, "request");
    });
    entry.close();
    return cost;
};

const summary = (values: readonly number[]): string => {
    const sorted = [...values].sort((left, right) => left - right);
    const at = (share: number): string =>
        (sorted[Math.floor(share * (sorted.length - 1) / PERCENT)] ?? Number.NaN).toFixed(1);
    return `${at(50)} (${at(10)} to ${at(90)})`;
};

for (const [name, run] of Object.entries({ entry: measureEntry, rank: measureRank })) {
    const costs = new Map<string, Cost[]>(folders.map(folder => [String(folder), []]));
    for (let index = 0; index < runs; index++) {
        for (const [folder, list] of costs) {
            list.push(await run(folder));
        }
    }
    for (const [folder, list] of costs) {
        console.log(
            `${name} ${folder}: ${summary(list.map(({ startMs }) => startMs))} ms of processor time to ready,`
                + ` ${summary(list.map(({ readyAfterMs }) => readyAfterMs))} ms elapsed`
                + (idle > 0 ? `, idle ${summary(list.map(({ idleMsPerS }) => idleMsPerS))} ms/s` : ""),
        );
    }
}
await rm(scratch, { recursive: true });
