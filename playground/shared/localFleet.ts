/**
 * Starts a fleet of real processes on loopback, with simulated backend servers and a simulated platform, for
 * the demo.
 */

import type { ListedInstance } from "@magnolialock/control";
import { type Address, branded, type DataCentreId, type InstanceId } from "@magnolialock/kernel";
import {
    type FleetChanges,
    type FleetServer,
    type FleetShape,
    formatFleetRules,
    listFleetServers,
} from "@magnolialock/lab";
import { randomBytes } from "node:crypto";
import { findFreePorts, ProcessGroup, waitUntilReady } from "./processes.ts";

const HOST = "127.0.0.1";
const SHARED_KEY_BYTES = 32;

/** Options of {@link startLocalFleet}. */
export interface LocalFleetOptions {
    /** Data centres, services and sizes of the fleet. */
    readonly shape: FleetShape;
    /** Random seed of the simulated backend servers. */
    readonly seed: number;
    /** Whether to show the logs of the processes; false by default. */
    readonly showLogs?: boolean;
}

/** A running entry process. */
export interface LocalEntry {
    /** Data centre of the entry. */
    readonly dataCentre: string;
    /** Base URL for callers. */
    readonly url: string;
    /** Address of its control port, for other processes and operators. */
    readonly controlAddress: string;
    /** Process identifier. */
    readonly pid: number;
}

/** A running backend server. */
export interface LocalBackend {
    /** Server rule from the rule file. */
    readonly server: FleetServer;
    /** Base URL of the simulated backend server. */
    readonly url: string;
}

/** A running fleet. */
export interface LocalFleet extends AsyncDisposable {
    /** Entries in the order of data centres. */
    readonly entries: readonly LocalEntry[];
    /** Backend servers in the order of the rules. */
    readonly backends: readonly LocalBackend[];
    /** Number of processes. */
    readonly processCount: number;
    /** Publishes the rules of the fleet with the given changes applied. */
    publish(changes: FleetChanges): Promise<void>;
}

const createListedInstance = (
    name: string,
    role: ListedInstance["role"],
    dataCentre: string,
    address: string,
): ListedInstance => ({
    name: branded<InstanceId>(name),
    role,
    dataCentre: branded<DataCentreId>(dataCentre),
    address: branded<Address>(address),
    isLeaving: false,
});

/**
 * Starts a fleet: a simulated platform, one simulated backend server and one agent for each server rule, and
 * the entries.
 *
 * @param options - shape of the fleet, seed and whether to show logs
 * @returns the fleet, once all entries are ready
 */
export const startLocalFleet = async (options: LocalFleetOptions): Promise<LocalFleet> => {
    // The processes inherit the key through their environment, because process lists show command-line
    // arguments.
    process.env["MAGNOLIALOCK_SHARED_KEY"] ??= randomBytes(SHARED_KEY_BYTES).toString("hex");
    const group = new ProcessGroup({ showLogs: options.showLogs ?? false });
    try {
        return await startProcesses(options, group);
    }
    catch (error) {
        await group[Symbol.asyncDispose]();
        throw error;
    }
};

const startProcesses = async (options: LocalFleetOptions, group: ProcessGroup): Promise<LocalFleet> => {
    const { shape, seed } = options;
    const serverCount = shape.modelReplicas + shape.plainReplicas;
    const entryCount = shape.dataCentres.length * shape.entriesPerDataCentre;
    const ports = await findFreePorts(1 + serverCount * 2 + entryCount * 2);
    const nextAddress = (): string => `${HOST}:${ports.pop()}`;
    const platformAddress = nextAddress();
    const agentAddresses = Array.from({ length: serverCount }, nextAddress);
    const agentAddressOf = (index: number): string => agentAddresses[index] as string;
    const servers = listFleetServers(shape, agentAddressOf);

    group.start("magnolialock-lab", ["stand-in", "platform", "--listen", platformAddress]);
    await waitUntilReady(`http://${platformAddress}/stand-in/calls`);
    const publish = async (changes: FleetChanges): Promise<void> => {
        const body = formatFleetRules(shape, changes, agentAddressOf);
        await fetch(`http://${platformAddress}/v1/kv/magnolialock/rules`, { method: "PUT", body });
    };
    await publish({});

    const listedInstances: ListedInstance[] = [];
    const backends = servers.map((server): LocalBackend => {
        const address = nextAddress();
        const isModel = server.service === shape.modelService;
        const limits = isModel ? shape.modelLimits : shape.plainLimits;
        const kind = isModel ? "engine" : "plain";
        const limitFlags = ["--cold", String(limits.cold), "--warm", String(limits.warm)];
        group.start("magnolialock-lab", [
            "stand-in",
            kind,
            "--listen",
            address,
            "--seed",
            String(seed),
            ...limitFlags,
        ]);
        listedInstances.push(
            createListedInstance(`agent-${server.name}`, "agent", server.dataCentre, server.agent),
        );
        group.start("magnolialock-agent", [
            ...["--instance", `agent-${server.name}`, "--data-centre", server.dataCentre],
            ...["--control", server.agent, "--platform", platformAddress],
            ...["--server", server.name, "--backend", address],
        ]);
        return { server, url: `http://${address}` };
    });
    await Promise.all(backends.map(({ url }) => waitUntilReady(`${url}/load`)));

    const entries = shape.dataCentres.flatMap(dataCentre =>
        Array.from({ length: shape.entriesPerDataCentre }, (_, index): LocalEntry => {
            const [address, controlAddress] = [nextAddress(), nextAddress()];
            const instance = `entry-${dataCentre}-${index + 1}`;
            listedInstances.push(createListedInstance(instance, "entry", dataCentre, controlAddress));
            const child = group.start("magnolialock-entry", [
                ...["--instance", instance, "--data-centre", dataCentre],
                ...["--control", controlAddress, "--platform", platformAddress, "--listen", address],
            ]);
            return { dataCentre, controlAddress, url: `http://${address}`, pid: child.pid as number };
        })
    );
    await fetch(`http://${platformAddress}/stand-in/instances`, {
        method: "PUT",
        body: JSON.stringify(listedInstances),
    });
    await Promise.all(entries.map(({ url }) => waitUntilReady(`${url}/readyz`)));
    return {
        entries,
        backends,
        processCount: group.size,
        publish,
        [Symbol.asyncDispose]: () => group[Symbol.asyncDispose](),
    };
};
