/**
 * Rule files of test fleets, generated from a fleet's size.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";

/** Size, services and limits of a fleet. */
export interface FleetShape {
    /** Names of the data centres. */
    readonly dataCentres: readonly string[];
    /** Number of entries in each data centre. */
    readonly entriesPerDataCentre: number;
    /** Name of the model service. */
    readonly modelService: string;
    /** Number of replicas of the model service. */
    readonly modelReplicas: number;
    /** Name of the plain service. */
    readonly plainService: string;
    /** Number of replicas of the plain service. */
    readonly plainReplicas: number;
    /** Mean service time of the plain service, in milliseconds. */
    readonly plainServiceMs?: number;
    /** Client accounts with their weights and rate limits, in calls per second. */
    readonly accounts: readonly {
        readonly name: string;
        readonly weight: number;
        readonly ratePerS: number;
    }[];
    /** Concurrent calls that a model replica sustains, cold and warm, and the length of its queue. */
    readonly modelLimits: { readonly cold: number; readonly warm: number; readonly queue?: number; };
    /** Concurrent calls that a plain replica sustains, cold and warm, and the length of its queue. */
    readonly plainLimits: { readonly cold: number; readonly warm: number; readonly queue?: number; };
}

/** Current fleet of Letreiro Nordeste Sistemas. */
export const LETREIRO_SHAPE: FleetShape = {
    dataCentres: ["recife", "natal", "fortaleza"],
    entriesPerDataCentre: 2,
    modelService: "redator",
    modelReplicas: 12,
    plainService: "painel",
    plainReplicas: 3,
    accounts: Array.from({ length: 10 }, (_, index) => ({
        name: `loja-${index + 1}`,
        weight: index < 3 ? 4 : 1,
        ratePerS: 1_000,
    })),
    modelLimits: { cold: 2, warm: 16 },
    plainLimits: { cold: 2, warm: 16 },
};

/** Returns the API key of a client account in tests and demos. */
export const apiKeyOf = (account: string): string => `key-${account}`;

/** A backend server of a fleet, as in its rule. */
export interface FleetServer {
    /** Name of the backend server. */
    readonly name: string;
    /** Name of its service. */
    readonly service: string;
    /** Name of its data centre. */
    readonly dataCentre: string;
    /** Address of its agent. */
    readonly agent: string;
}

/** Returns the address of the agent of a backend server, by the server's index in the fleet. */
export type AgentAddress = (serverIndex: number) => string;

const virtualAgentAddress: AgentAddress = index =>
    `10.1.${Math.floor(index / 250)}.${(index % 250) + 1}:7100`;

/**
 * Lists the backend servers of a fleet, assigned to its data centres in turn.
 *
 * @param shape - size of the fleet
 * @param agentAddress - returns the addresses of the agents
 * @returns the backend servers, model replicas first
 */
export const listFleetServers = (
    shape: FleetShape,
    agentAddress: AgentAddress = virtualAgentAddress,
): FleetServer[] => {
    const names = [
        ...Array.from({ length: shape.modelReplicas }, (_, index) => `${shape.modelService}-${index + 1}`),
        ...Array.from({ length: shape.plainReplicas }, (_, index) => `${shape.plainService}-${index + 1}`),
    ];
    return names.map((name, index) => ({
        name,
        service: index < shape.modelReplicas ? shape.modelService : shape.plainService,
        dataCentre: shape.dataCentres[index % shape.dataCentres.length] as string,
        agent: agentAddress(index),
    }));
};

/**
 * Lists the names of a fleet's entries.
 *
 * @param shape - size of the fleet
 * @returns the names, in the order in which the entries start
 */
export const listFleetEntryNames = (shape: FleetShape): string[] =>
    shape.dataCentres.flatMap(dataCentre =>
        Array.from(
            { length: shape.entriesPerDataCentre },
            (_, index) => `entry-${dataCentre}-${index + 1}`,
        )
    );

const hashApiKey = (account: string): string => createHash("sha256").update(apiKeyOf(account)).digest("hex");

/** Operators' changes to a fleet's rules. */
export interface FleetChanges {
    /** Names of the data centres that are taken out. */
    readonly out?: readonly string[];
    /** Names of the backend servers that are drained. */
    readonly drain?: readonly string[];
    /** Further lines at the end of the file. */
    readonly extraLines?: readonly string[];
}

/**
 * Generates the rule file of a fleet.
 *
 * @param shape - size of the fleet
 * @param changes - operators' changes
 * @param agentAddress - returns the addresses of the agents
 * @returns content of the rule file
 */
export const formatFleetRules = (
    shape: FleetShape,
    changes: FleetChanges = {},
    agentAddress: AgentAddress = virtualAgentAddress,
): string => {
    const { modelService, plainService } = shape;
    const limitsOf = (service: string) => service === modelService ? shape.modelLimits : shape.plainLimits;
    const lines = [
        ...shape.dataCentres.map(name => `data-centre ${name} region=nordeste`),
        `service ${modelService} kind=model deadline=60s warm-time=50ms`,
        `service ${plainService} kind=plain deadline=5s warm-time=16ms`,
        ...listFleetServers(shape, agentAddress).map(({ name, service, dataCentre, agent }) => {
            const { cold, warm, queue } = limitsOf(service);
            const queueField = queue === undefined ? "" : ` queue=${queue}`;
            return `server ${name} service=${service} data-centre=${dataCentre} agent=${agent} cold=${cold} warm=${warm}${queueField}`;
        }),
        ...shape.accounts.map(({ name, weight, ratePerS }) =>
            `account ${name} key=sha256:${
                hashApiKey(name)
            } rate=${ratePerS}/s burst=${ratePerS} weight=${weight}`
        ),
        `call ${plainService} GET /status* priority=status repeat=yes`,
        `call ${plainService} POST /bookings* priority=booking repeat=no`,
        ...(changes.out ?? []).map(name => `out ${name}`),
        ...(changes.drain ?? []).map(name => `drain ${name}`),
        ...(changes.extraLines ?? []),
    ];
    return lines.map(line => `${line} # lab\n`).join("");
};
