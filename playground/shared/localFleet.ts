/**
 * A fleet of real processes on loopback, before stand-ins. Used by the demo and the benchmarks.
 */

import {
    type FleetChanges,
    fleetRules,
    type FleetServer,
    fleetServers,
    type FleetShape,
} from "@magnolialock/lab";
import { freePorts, ProcessGroup, waitUntilReady } from "./processes.ts";

const HOST = "127.0.0.1";

/** Options of {@link startLocalFleet}. */
export interface LocalFleetOptions {
    /** Size of the fleet. */
    readonly shape: FleetShape;
    /** Seed of the stand-ins. */
    readonly seed: number;
    /** Whether the processes' logs are shown. */
    readonly showLogs?: boolean;
}

/** A running entry. */
export interface LocalEntry {
    /** Its data centre. */
    readonly dataCentre: string;
    /** Where callers reach it. */
    readonly url: string;
    /** Identifier of its process. */
    readonly pid: number;
}

/** A running backend server. */
export interface LocalBackend {
    /** Its rule. */
    readonly server: FleetServer;
    /** Where the stand-in listens. */
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
    /** Publishes the rules with changes. */
    publish(changes: FleetChanges): Promise<void>;
}

/**
 * Starts a fleet: the platform, one stand-in and one agent for each backend server, and the entries.
 *
 * @param options - size and seed
 * @returns the fleet, once all entries are ready
 */
export const startLocalFleet = async (options: LocalFleetOptions): Promise<LocalFleet> => {
    const { shape, seed } = options;
    const group = new ProcessGroup({ showLogs: options.showLogs ?? false });
    const serverCount = shape.modelReplicas + shape.plainReplicas;
    const entryCount = shape.dataCentres.length * shape.entriesPerDataCentre;
    const ports = await freePorts(1 + serverCount * 2 + entryCount * 2);
    const nextAddress = (): string => `${HOST}:${ports.pop()}`;
    const platform = nextAddress();
    const agentAddresses = Array.from({ length: serverCount }, nextAddress);
    const addressOf = (index: number): string => agentAddresses[index] as string;
    const servers = fleetServers(shape, addressOf);

    group.start("magnolialock-lab", ["stand-in", "platform", "--listen", platform]);
    await waitUntilReady(`http://${platform}/stand-in/calls`);
    const publish = async (changes: FleetChanges): Promise<void> => {
        const body = fleetRules(shape, changes, addressOf);
        await fetch(`http://${platform}/v1/kv/magnolialock/rules`, { method: "PUT", body });
    };
    await publish({});

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
        group.start("magnolialock-agent", [
            ...["--instance", `agent-${server.name}`, "--data-centre", server.dataCentre],
            ...["--control", server.agent, "--platform", platform],
            ...["--server", server.name, "--backend", address],
        ]);
        return { server, url: `http://${address}` };
    });
    await Promise.all(backends.map(({ url }) => waitUntilReady(`${url}/load`)));

    const entries = shape.dataCentres.flatMap(dataCentre =>
        Array.from({ length: shape.entriesPerDataCentre }, (_, index): LocalEntry => {
            const address = nextAddress();
            const child = group.start("magnolialock-entry", [
                ...["--instance", `entry-${dataCentre}-${index + 1}`, "--data-centre", dataCentre],
                ...["--control", nextAddress(), "--platform", platform, "--listen", address],
            ]);
            return { dataCentre, url: `http://${address}`, pid: child.pid as number };
        })
    );
    await Promise.all(entries.map(({ url }) => waitUntilReady(`${url}/readyz`)));
    return {
        entries,
        backends,
        processCount: group.size,
        publish,
        [Symbol.asyncDispose]: () => group[Symbol.asyncDispose](),
    };
};
