/**
 * Rule files for fleets of a given size.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";

/** Size of a fleet. */
export interface FleetShape {
    /** Data centres. */
    readonly dataCentres: readonly string[];
    /** Entries in each data centre. */
    readonly entriesPerDataCentre: number;
    /** Name of the model service. */
    readonly modelService: string;
    /** Replicas of the model service. */
    readonly modelReplicas: number;
    /** Name of the plain service. */
    readonly plainService: string;
    /** Replicas of the plain service. */
    readonly plainReplicas: number;
    /** Client accounts with their weights. */
    readonly accounts: readonly {
        readonly name: string;
        readonly weight: number;
        readonly ratePerS: number;
    }[];
    /** Calls that a model replica bears at once, cold and warm. */
    readonly modelLimits: { readonly cold: number; readonly warm: number; readonly queue?: number; };
    /** Calls that a plain replica bears at once, cold and warm. */
    readonly plainLimits: { readonly cold: number; readonly warm: number; readonly queue?: number; };
}

/** Fleet of Letreiro Nordeste Sistemas today. */
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

/** API key of an account in labs and demos. */
export const apiKeyOf = (account: string): string => `key-${account}`;

/** A backend server of a fleet, as its rule names it. */
export interface FleetServer {
    /** Its name. */
    readonly name: string;
    /** Its service. */
    readonly service: string;
    /** Its data centre. */
    readonly dataCentre: string;
    /** Address of its agent. */
    readonly agent: string;
}

/** How addresses of agents are made. */
export type AgentAddress = (serverIndex: number) => string;

const virtualAddress: AgentAddress = index => `10.1.${Math.floor(index / 250)}.${(index % 250) + 1}:7100`;

/**
 * Lists the backend servers of a fleet, spread over its data centres.
 *
 * @param shape - size of the fleet
 * @param agentAddress - makes addresses
 * @returns the servers
 */
export const fleetServers = (
    shape: FleetShape,
    agentAddress: AgentAddress = virtualAddress,
): FleetServer[] => {
    const services = [
        ...Array.from({ length: shape.modelReplicas }, (_, index) => `${shape.modelService}-${index + 1}`),
        ...Array.from({ length: shape.plainReplicas }, (_, index) => `${shape.plainService}-${index + 1}`),
    ];
    return services.map((name, index) => ({
        name,
        service: index < shape.modelReplicas ? shape.modelService : shape.plainService,
        dataCentre: shape.dataCentres[index % shape.dataCentres.length] as string,
        agent: agentAddress(index),
    }));
};

const keyHash = (account: string): string => createHash("sha256").update(apiKeyOf(account)).digest("hex");

/** What operators have changed in a fleet. */
export interface FleetChanges {
    /** Data centres that are out. */
    readonly out?: readonly string[];
    /** Backend servers that are draining. */
    readonly drain?: readonly string[];
    /** More lines at the end. */
    readonly extraLines?: readonly string[];
}

/**
 * Writes the rule file of a fleet.
 *
 * @param shape - size of the fleet
 * @param changes - operators' changes
 * @param agentAddress - makes addresses
 * @returns the file
 */
export const fleetRules = (
    shape: FleetShape,
    changes: FleetChanges = {},
    agentAddress: AgentAddress = virtualAddress,
): string => {
    const { modelService, plainService } = shape;
    const limitsOf = (service: string) => service === modelService ? shape.modelLimits : shape.plainLimits;
    const lines = [
        ...shape.dataCentres.map(name => `data-centre ${name} region=nordeste`),
        `service ${modelService} kind=model deadline=60s warm-time=50ms`,
        `service ${plainService} kind=plain deadline=5s warm-time=16ms`,
        ...fleetServers(shape, agentAddress).map(({ name, service, dataCentre, agent }) => {
            const { cold, warm, queue } = limitsOf(service);
            const queueField = queue === undefined ? "" : ` queue=${queue}`;
            return `server ${name} service=${service} data-centre=${dataCentre} agent=${agent} cold=${cold} warm=${warm}${queueField}`;
        }),
        ...shape.accounts.map(({ name, weight, ratePerS }) =>
            `account ${name} key=sha256:${
                keyHash(name)
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
