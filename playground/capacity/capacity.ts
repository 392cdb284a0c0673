/**
 * Measures CPU time and memory of entry and agent processes: while idle, and while the configuration changes.
 */

import { RolloutRules } from "@magnolialock/lab";
import { readFile } from "node:fs/promises";
import { setTimeout as delay } from "node:timers/promises";
import yargs from "yargs";
import { findFreePorts, ProcessGroup, waitUntilReady } from "../shared/processes.ts";

const HOST = "127.0.0.1";
const DATA_CENTRE = "recife";
/** Clock ticks per second of `/proc/PID/stat` on Linux. */
const TICKS_PER_S = 100;
const PAGE_BYTES = 4_096;
const BYTES_PER_MB = 1_000_000;
const SETTLE_DELAY_MS = 15_000;
const CHANGE_INTERVAL_MS = 5_000;

interface ProcessUsage {
    readonly cpuS: number;
    readonly rssBytes: number;
}

interface MeasuredProcess {
    readonly role: "entry" | "agent";
    readonly pid: number;
}

const readUsage = async (pid: number): Promise<ProcessUsage> => {
    const [stat, statm] = await Promise.all([
        readFile(`/proc/${pid}/stat`, "utf8"),
        readFile(`/proc/${pid}/statm`, "utf8"),
    ]);
    // The program name is in parentheses and may contain spaces, so the fields are counted after it.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const ticks = Number(fields[11]) + Number(fields[12]);
    return { cpuS: ticks / TICKS_PER_S, rssBytes: Number(statm.split(" ")[1]) * PAGE_BYTES };
};

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

const summarize = (values: readonly number[]): { readonly mean: number; readonly max: number; } => ({
    mean: round(values.reduce((total, value) => total + value, 0) / values.length),
    max: round(Math.max(...values)),
});

/** Measures the CPU use of each process during an action, in percent of one core. */
const measureCpuPercent = async (
    processes: readonly MeasuredProcess[],
    action: () => Promise<void>,
): Promise<Map<MeasuredProcess, number>> => {
    const usageBefore = await Promise.all(processes.map(({ pid }) => readUsage(pid)));
    const startMs = performance.now();
    await action();
    const elapsedS = (performance.now() - startMs) / 1_000;
    const usageAfter = await Promise.all(processes.map(({ pid }) => readUsage(pid)));
    return new Map(processes.map((process, index) => {
        const cpuS = (usageAfter[index]?.cpuS ?? 0) - (usageBefore[index]?.cpuS ?? 0);
        return [process, cpuS / elapsedS * 100];
    }));
};

const args = await yargs(process.argv.slice(2))
    .option("agents", { type: "number", default: 20, describe: "number of agents" })
    .option("entries", { type: "number", default: 4, describe: "number of entries" })
    .option("rules-bytes", { type: "number", default: 1_048_576, describe: "size of the rule file in bytes" })
    .option("seconds", { type: "number", default: 30, describe: "duration of each phase in seconds" })
    .strict()
    .parseAsync();

await using group = new ProcessGroup({ showLogs: false });
const ports = await findFreePorts(2 + args.agents + args.entries * 2);
const nextAddress = (): string => `${HOST}:${ports.pop()}`;
const platformAddress = nextAddress();
const engineAddress = nextAddress();
const agentAddresses = Array.from({ length: args.agents }, nextAddress);
const nodes = agentAddresses.map((address, index) => ({
    address,
    role: "agent" as const,
    name: `agent-${index + 1}`,
    dataCentre: DATA_CENTRE,
}));
const rolloutRules = new RolloutRules(nodes, args.rulesBytes);
let publishedVersion = 0;
const publish = async (): Promise<void> => {
    const body = Buffer.from(rolloutRules.version(++publishedVersion));
    await fetch(`http://${platformAddress}/v1/kv/magnolialock/rules`, { method: "PUT", body });
};

group.start("magnolialock-lab", ["stand-in", "platform", "--listen", platformAddress]);
group.start("magnolialock-lab", ["stand-in", "engine", "--listen", engineAddress]);
await waitUntilReady(`http://${platformAddress}/stand-in/calls`);
await publish();
const commonArgs = ["--data-centre", DATA_CENTRE, "--platform", platformAddress, "--shared-key", "capacity"];
const peerArgs = ["--peers", agentAddresses.slice(0, 3).join(",")];
const processes: MeasuredProcess[] = nodes.map(({ name, address }) => ({
    role: "agent",
    pid: group.start("magnolialock-agent", [
        ...["--instance", name, "--control", address, "--server", name, "--backend", engineAddress],
        ...commonArgs,
        ...peerArgs,
    ]).pid as number,
}));
for (let index = 1; index <= args.entries; index++) {
    const listen = nextAddress();
    const child = group.start("magnolialock-entry", [
        ...["--instance", `entry-${index}`, "--control", nextAddress(), "--listen", listen],
        ...commonArgs,
        ...peerArgs,
    ]);
    processes.push({ role: "entry", pid: child.pid as number });
    await waitUntilReady(`http://${listen}/readyz`);
}
await delay(SETTLE_DELAY_MS);
const phaseMs = args.seconds * 1_000;
const idleCpu = await measureCpuPercent(processes, () => delay(phaseMs));
const changingCpu = await measureCpuPercent(processes, async () => {
    for (let elapsedMs = 0; elapsedMs < phaseMs; elapsedMs += CHANGE_INTERVAL_MS) {
        await publish();
        await delay(CHANGE_INTERVAL_MS);
    }
});
const finalUsage = await Promise.all(processes.map(({ pid }) => readUsage(pid)));
for (const role of ["agent", "entry"] as const) {
    const roleProcesses = processes.filter(process => process.role === role);
    const cpuOf = (phase: ReadonlyMap<MeasuredProcess, number>) =>
        roleProcesses.map(process => phase.get(process) ?? 0);
    const extraCpuPercent = roleProcesses.map(process =>
        (changingCpu.get(process) ?? 0) - (idleCpu.get(process) ?? 0)
    );
    const report = {
        role,
        processes: roleProcesses.length,
        rulesBytes: args.rulesBytes,
        quietCpuPercent: summarize(cpuOf(idleCpu)),
        changingCpuPercent: summarize(cpuOf(changingCpu)),
        cpuMsPerChange: summarize(extraCpuPercent.map(percent => percent / 100 * CHANGE_INTERVAL_MS)),
        rssMb: summarize(
            roleProcesses.map(process =>
                (finalUsage[processes.indexOf(process)]?.rssBytes ?? 0) / BYTES_PER_MB
            ),
        ),
    };
    process.stdout.write(`${JSON.stringify(report)}\n`);
}
