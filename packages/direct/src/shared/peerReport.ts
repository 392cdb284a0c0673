/**
 * Format of the datagrams between instances: identity, known revision of the published state, and running
 * requests.
 *
 * @packageDocumentation
 */

import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
    type Address,
    branded,
    type DataCentreId,
    hash32,
    type IncarnationId,
    type InstanceId,
    isAddress,
    type Revision,
} from "@magnolialock/kernel";
import { type DirectReport, DirectReportSchema } from "@magnolialock/protocol";

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
    /**
     * Number of requests that it runs, by the {@link reportKey} of the backend server; servers without any are
     * omitted.
     */
    readonly running: ReadonlyMap<number, number>;
    /**
     * Time since it last knew a group of model servers to serve, in milliseconds, by the {@link reportKey} of
     * `<service>/<group>`.
     */
    readonly groupUpMs: ReadonlyMap<number, number>;
    /** Addresses of some other instances that it knows. */
    readonly members: readonly Address[];
    /** Number of instances that it has heard from, itself included. */
    readonly heardInstances: number;
}

/**
 * Returns the key under which reports name a backend server or a group: short, since reports go to every
 * instance of a large fleet.
 *
 * @param name - identifier of the server or name of the group
 */
export const reportKey = (name: string): number => hash32(name);

/**
 * Encodes a report.
 *
 * @param report - the report
 * @returns the datagram
 */
export const encodePeerReport = (report: PeerReport): Uint8Array =>
    toBinary(
        DirectReportSchema,
        create(DirectReportSchema, {
            instance: report.instance,
            incarnation: report.incarnation,
            dataCentre: report.dataCentre,
            revision: BigInt(report.revision),
            serverHashes: [...report.running.keys()],
            runningRequests: [...report.running.values()],
            groupHashes: [...report.groupUpMs.keys()],
            sinceGroupUpMs: [...report.groupUpMs.values()],
            members: [...report.members],
            heardInstances: report.heardInstances,
        }),
    );

const zip = (keys: readonly number[], values: readonly number[]): ReadonlyMap<number, number> =>
    new Map(keys.map((key, index) => [key, values[index] ?? 0]));

/**
 * Decodes a report.
 *
 * @param bytes - the datagram
 * @returns the report; undefined if the datagram is not a valid report
 */
export const decodePeerReport = (bytes: Uint8Array): PeerReport | undefined => {
    let report: DirectReport;
    try {
        report = fromBinary(DirectReportSchema, bytes);
    }
    catch {
        return undefined;
    }
    const { dataCentre, heardInstances, incarnation, instance, members, revision } = report;
    if (instance === "" || incarnation === "" || dataCentre === "") {
        return undefined;
    }
    return {
        instance: branded<InstanceId>(instance),
        incarnation: branded<IncarnationId>(incarnation),
        dataCentre: branded<DataCentreId>(dataCentre),
        revision: branded<Revision>(Number(revision)),
        running: zip(report.serverHashes, report.runningRequests),
        groupUpMs: zip(report.groupHashes, report.sinceGroupUpMs),
        members: members.filter((member): member is Address => isAddress(member)),
        heardInstances,
    };
};
