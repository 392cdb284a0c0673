/**
 * Status of a whole fleet, collected by querying each of its processes.
 *
 * @packageDocumentation
 */

import { createClient } from "@connectrpc/connect";
import { type Address, branded, errorMessage, type Runtime, timeoutSignal } from "@magnolialock/kernel";
import { type GetStatusResponse, OperatorService } from "@magnolialock/protocol";

/** A process as reported by the other members, with its own answer if it gave one. */
export interface ProcessStatus {
    /** Instance name. */
    readonly instance: string;
    /** Role, such as entry or agent. */
    readonly role: string;
    /** Data centre. */
    readonly dataCentre: string;
    /** Control address. */
    readonly address: string;
    /** Status reported by the process itself; undefined when it did not answer. */
    readonly answer: GetStatusResponse | undefined;
    /** Membership state reported by others: alive, suspect, leaving or dead. */
    readonly state: string;
    /** Error of the call when the process did not answer. */
    readonly error: string | undefined;
}

/** Status of a fleet. */
export interface FleetStatus {
    /** All discovered processes, sorted by data centre, role and name. */
    readonly processes: readonly ProcessStatus[];
    /** Highest revision in force on any process. */
    readonly revision: number;
    /** Highest rejected revision newer than the one in force; 0 if there is none. */
    readonly rejectedRevision: number;
    /** Findings for which the revision was rejected. */
    readonly rejectedFindings: readonly string[];
}

/** Options of {@link readFleetStatus}. */
export interface FleetStatusOptions {
    /** Clock and network. */
    readonly runtime: Pick<Runtime, "clock" | "network">;
    /** Addresses from which to start the discovery. */
    readonly peers: readonly Address[];
    /** Timeout of each call to a process, in milliseconds. */
    readonly timeoutMs: number;
}

/** Maximum number of processes queried concurrently. */
const MAX_CONCURRENT_CALLS = 32;

interface DiscoveredProcess {
    readonly address: string;
    readonly state: string;
    readonly instance: string;
    readonly role: string;
    readonly dataCentre: string;
}

const fetchStatus = async (
    options: FleetStatusOptions,
    target: DiscoveredProcess,
): Promise<ProcessStatus> => {
    const { runtime, timeoutMs } = options;
    using deadline = timeoutSignal(runtime.clock, timeoutMs);
    const transport = runtime.network.transportTo(branded<Address>(target.address));
    try {
        const answer = await createClient(OperatorService, transport)
            .getStatus({}, { signal: deadline.signal });
        const { instance, role, dataCentre } = answer;
        return { ...target, instance, role, dataCentre, answer, error: undefined };
    }
    catch (error) {
        return { ...target, answer: undefined, error: errorMessage(error) };
    }
};

const compareProcesses = (left: ProcessStatus, right: ProcessStatus): number =>
    left.dataCentre.localeCompare(right.dataCentre)
    || right.role.localeCompare(left.role)
    || left.instance.localeCompare(right.instance, "en", { numeric: true });

const summarize = (processes: readonly ProcessStatus[]): FleetStatus => {
    const answers = processes.flatMap(({ answer }) => answer ? [answer] : []);
    const revision = Math.max(0, ...answers.map(answer => Number(answer.revision)));
    const rejectedRevision = Math.max(0, ...answers.map(answer => Number(answer.rejectedRevision)));
    const rejectingAnswer = answers.find(answer => Number(answer.rejectedRevision) === rejectedRevision);
    const isRejectedNewer = rejectedRevision > revision;
    return {
        revision,
        processes: [...processes].sort(compareProcesses),
        rejectedRevision: isRejectedNewer ? rejectedRevision : 0,
        rejectedFindings: isRejectedNewer ? rejectingAnswer?.rejectedFindings ?? [] : [],
    };
};

/**
 * Queries the given processes, then the members that they report, until no new member is reported.
 *
 * @param options - addresses to start from, runtime and timeout
 * @returns the status of all discovered processes
 */
export const readFleetStatus = async (options: FleetStatusOptions): Promise<FleetStatus> => {
    const found = new Map<string, ProcessStatus>();
    const queue: DiscoveredProcess[] = options.peers.map(address => ({
        address,
        state: "unknown",
        instance: address,
        role: "unknown",
        dataCentre: "unknown",
    }));
    const seen = new Set<string>(options.peers);
    while (queue.length > 0) {
        const batch = queue.splice(0, MAX_CONCURRENT_CALLS);
        for (const status of await Promise.all(batch.map(target => fetchStatus(options, target)))) {
            found.set(status.address, status);
            for (const member of status.answer?.members ?? []) {
                if (!seen.has(member.address)) {
                    seen.add(member.address);
                    queue.push(member);
                }
            }
        }
    }
    // A process that is reported dead and does not answer is no longer part of the fleet.
    return summarize([...found.values()].filter(({ answer, state }) => answer || state !== "dead"));
};

/**
 * Summarizes the condition of a process in a few words.
 *
 * @param status - status of the process
 * @returns for example `cold, out`; `ok` when there is nothing to report
 */
export const describeCondition = (status: ProcessStatus): string => {
    const { answer, state, error } = status;
    if (!answer) {
        return `no answer (${state}): ${error ?? "unknown error"}`;
    }
    const words = [
        answer.revision === 0n ? "no configuration" : "",
        answer.isLeaving || state === "leaving" ? "leaving" : "",
        answer.isDraining ? "out" : "",
        state === "suspect" ? "suspect" : "",
        answer.warmth === "" || answer.warmth === "warm" ? "" : answer.warmth,
    ].filter(word => word !== "");
    return words.length > 0 ? words.join(", ") : "ok";
};
