/**
 * Datagrams between instances: who is there, which published state it knows and what it runs.
 *
 * @packageDocumentation
 */

import {
    type Address,
    branded,
    type DataCentreId,
    type IncarnationId,
    type InstanceId,
    isAddress,
    type Revision,
} from "@magnolialock/kernel";

/** What an instance says about itself. */
export interface PeerReport {
    /** Its name. */
    readonly instance: InstanceId;
    /** Its life; a restarted process has a new one. */
    readonly incarnation: IncarnationId;
    /** Its data centre. */
    readonly dataCentre: DataCentreId;
    /** Published state that it knows. */
    readonly revision: Revision;
    /** Requests that it runs, by backend server; servers without one are left out. */
    readonly running: ReadonlyMap<string, number>;
    /** Time since it saw a service's group serve, in milliseconds, by service. */
    readonly groupUpMs: ReadonlyMap<string, number>;
    /** Addresses of some instances that it knows. */
    readonly members: readonly Address[];
}

/** Version of the format; other versions are not read. */
const FORMAT_VERSION = 1;

/**
 * Encodes a report.
 *
 * @param report - the report
 * @returns the datagram
 */
export const encodePeerReport = (report: PeerReport): Uint8Array =>
    Buffer.from(JSON.stringify([
        FORMAT_VERSION,
        report.instance,
        report.incarnation,
        report.dataCentre,
        report.revision,
        Object.fromEntries(report.running),
        Object.fromEntries(report.groupUpMs),
        report.members,
    ]));

const numericEntries = (value: unknown): ReadonlyMap<string, number> => {
    const numbers = new Map<string, number>();
    if (typeof value === "object" && value) {
        for (const [name, number] of Object.entries(value)) {
            if (typeof number === "number") {
                numbers.set(name, number);
            }
        }
    }
    return numbers;
};

/**
 * Decodes a report.
 *
 * @param bytes - the datagram
 * @returns the report; undefined when the datagram is something else
 */
export const decodePeerReport = (bytes: Uint8Array): PeerReport | undefined => {
    let fields: unknown;
    try {
        fields = JSON.parse(Buffer.from(bytes).toString());
    }
    catch {
        return undefined;
    }
    if (!Array.isArray(fields) || fields[0] !== FORMAT_VERSION) {
        return undefined;
    }
    const [, instance, incarnation, dataCentre, revision, running, groupUpMs, members] = fields as unknown[];
    if (
        typeof instance !== "string" || typeof incarnation !== "string" || typeof dataCentre !== "string"
        || typeof revision !== "number"
    ) {
        return undefined;
    }
    return {
        instance: branded<InstanceId>(instance),
        incarnation: branded<IncarnationId>(incarnation),
        dataCentre: branded<DataCentreId>(dataCentre),
        revision: branded<Revision>(revision),
        running: numericEntries(running),
        groupUpMs: numericEntries(groupUpMs),
        members: Array.isArray(members)
            ? members.filter((member): member is Address => typeof member === "string" && isAddress(member))
            : [],
    };
};
