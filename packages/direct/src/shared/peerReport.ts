/**
 * Format of the datagrams between instances: identity, known revision of the published state, and running
 * requests.
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

/** Report of one instance. */
export interface PeerReport {
    /** Name of the instance. */
    readonly instance: InstanceId;
    /** Incarnation; a restarted process has a new one. */
    readonly incarnation: IncarnationId;
    /** Its data centre. */
    readonly dataCentre: DataCentreId;
    /** Revision of the published state that it knows. */
    readonly revision: Revision;
    /** Number of requests that it runs, by backend server; servers without any are omitted. */
    readonly running: ReadonlyMap<string, number>;
    /** Time since it last knew the group of a service to serve, in milliseconds, by service. */
    readonly groupUpMs: ReadonlyMap<string, number>;
    /** Addresses of some other instances that it knows. */
    readonly members: readonly Address[];
}

/** Version of the format; datagrams of other versions are rejected. */
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
 * @returns the report; undefined if the datagram is not a valid report
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
