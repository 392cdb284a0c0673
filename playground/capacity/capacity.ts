/**
 * Processor time and memory of real processes: quiet, and while the configuration changes.
 */

import { RolloutRules } from "@magnolialock/lab";
import { readFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import yargs from "yargs";
import { freePorts, ProcessGroup, waitUntilReady } from "../shared/processes.ts";

const HOST = "127.0.0.1";
const DATA_CENTRE = "recife";
/** Clock ticks per second of `/proc/PID/stat` on Linux. */
const TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_000_000;
const SETTLE_MS = 15_000;
const CHANGE_INTERVAL_MS = 5_000;

interface Usage {
    readonly cpuS: number;
    readonly rssBytes: number;
}

interface MeasuredProcess {
    readonly role: "entry" | "agent";
    readonly pid: number;
}

const readUsage = async (pid: number): Promise<Usage> => {
    const [stat, statm] = await Promise.all([
        readFile(`/proc/${pid}/stat`, "utf8"),
        readFile(`/proc/${pid}/statm`, "utf8"),
    ]);
    // Fields after the program's name, which stands in brackets.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return { cpuS: ticks / TICKS_PER_S, rssBytes: Number(statm.split(" ")[1]) * PAGE_BYTES };
};

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

const summarize = (values: readonly number[]): { readonly mean: number; readonly max: number; } => ({
    mean: round(values.reduce((total, value) => total + value, 0) / values.length),
    max: round(Math.max(...values)),
});

/** Share of a core, in percent, that each process used while something happened. */
const measureCpu = async (
    processes: readonly MeasuredProcess[],
    action: () => Promise<void>,
): Promise<Map<MeasuredProcess, number>> => {
    const before = await Promise.all(processes.map(({ pid }) => readUsage(pid)));
    const startMs = performance.now();
    await action();
    const elapsedS = (performance.now() - startMs) / 1_000;
    const after = await Promise.all(processes.map(({ pid }) => readUsage(pid)));
    return new Map(processes.map((process, index) => {
        const cpuS = (after[index]?.cpuS ?? 0) - (before[index]?.cpuS ?? 0);
        return [process, cpuS / elapsedS * 100];
    }));
};

const args = await yargs(process.argv.slice(2))
    .option("agents", { type: "number", default: 20, describe: "agents" })
    .option("entries", { type: "number", default: 4, describe: "entries" })
    .option("rules-bytes", { type: "number", default: 1_048_576, describe: "size of the rule file" })
    .option("seconds", { type: "number", default: 30, describe: "length of each phase" })
    .strict()
    .parseAsync();

await using group = new ProcessGroup({ showLogs: false });
const ports = await freePorts(2 + args.agents + args.entries * 2);
const nextAddress = (): string => `${HOST}:${ports.pop()}`;
const platform = nextAddress();
const engine = nextAddress();
const agentAddresses = Array.from({ length: args.agents }, nextAddress);
const nodes = agentAddresses.map((address, index) => ({
    address,
    role: "agent" as const,
    name: `agent-${index + 1}`,
    dataCentre: DATA_CENTRE,
}));
const rules = new RolloutRules(nodes, args.rulesBytes);
let version = 0;
const publish = async (): Promise<void> => {
    const body = Buffer.from(rules.version(++version));
    await fetch(`http://${platform}/v1/kv/magnolialock/rules`, { method: "PUT", body });
};

group.start("magnolialock-lab", ["stand-in", "platform", "--listen", platform]);
group.start("magnolialock-lab", ["stand-in", "engine", "--listen", engine]);
await waitUntilReady(`http://${platform}/stand-in/calls`);
await publish();
const common = ["--data-centre", DATA_CENTRE, "--platform", platform, "--shared-key", "capacity"];
const seeds = ["--peers", agentAddresses.slice(0, 3).join(",")];
const processes: MeasuredProcess[] = nodes.map(({ name, address }) => ({
    role: "agent",
    pid: group.start("magnolialock-agent", [
        ...["--instance", name, "--control", address, "--server", name, "--backend", engine],
        ...common,
        ...seeds,
    ]).pid as number,
}));
for (let index = 1; index <= args.entries; index++) {
    const listen = nextAddress();
    const child = group.start("magnolialock-entry", [
        ...["--instance", `entry-${index}`, "--control", nextAddress(), "--listen", listen],
        ...common,
        ...seeds,
    ]);
    processes.push({ role: "entry", pid: child.pid as number });
    await waitUntilReady(`http://${listen}/readyz`);
}
await delay(SETTLE_MS);
const phaseMs = args.seconds * 1_000;
const quiet = await measureCpu(processes, () => delay(phaseMs));
const changing = await measureCpu(processes, async () => {
    for (let atMs = 0; atMs < phaseMs; atMs += CHANGE_INTERVAL_MS) {
        await publish();
        await delay(CHANGE_INTERVAL_MS);
    }
});
const memory = await Promise.all(processes.map(({ pid }) => readUsage(pid)));
for (const role of ["agent", "entry"] as const) {
    const own = processes.filter(process => process.role === role);
    const cpuOf = (phase: ReadonlyMap<MeasuredProcess, number>) =>
        own.map(process => phase.get(process) ?? 0);
    const extra = own.map(process => (changing.get(process) ?? 0) - (quiet.get(process) ?? 0));
    const report = {
        role,
        processes: own.length,
        rulesBytes: args.rulesBytes,
        quietCpuPercent: summarize(cpuOf(quiet)),
        changingCpuPercent: summarize(cpuOf(changing)),
        cpuMsPerChange: summarize(extra.map(percent => percent / 100 * CHANGE_INTERVAL_MS)),
        rssMb: summarize(
            own.map(process => (memory[processes.indexOf(process)]?.rssBytes ?? 0) / BYTES_PER_MB),
        ),
    };
    process.stdout.write(`${JSON.stringify(report)}\n`);
}
