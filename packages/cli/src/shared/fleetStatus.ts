/**
 * Status of a whole fleet, asked from its processes one by one.
 *
 * @packageDocumentation
 */

import { createClient } from "@connectrpc/connect";
import { type Address, branded, errorMessage, type Runtime, timeoutSignal } from "@magnolialock/kernel";
import { type GetStatusResponse, OperatorService } from "@magnolialock/protocol";

/** A process as the fleet's members name it, with its own answer where it gave one. */
export interface ProcessStatus {
    /** Its name. */
    readonly instance: string;
    /** What it runs. */
    readonly role: string;
    /** Its data centre. */
    readonly dataCentre: string;
    /** Its address. */
    readonly address: string;
    /** What the process itself said; undefined when it did not answer. */
    readonly answer: GetStatusResponse | undefined;
    /** What others say of it: alive, suspect, leaving or dead. */
    readonly state: string;
    /** Why it did not answer. */
    readonly error: string | undefined;
}

/** Status of a fleet. */
export interface FleetStatus {
    /** All processes that were found, by data centre, role and name. */
    readonly processes: readonly ProcessStatus[];
    /** Highest revision in force anywhere. */
    readonly revision: number;
    /** Highest rejected revision above it; 0 if there is none. */
    readonly rejectedRevision: number;
    /** What is wrong with the rejected revision. */
    readonly rejectedFindings: readonly string[];
}

/** Options of {@link readFleetStatus}. */
export interface FleetStatusOptions {
    /** Surroundings of the tool. */
    readonly runtime: Pick<Runtime, "clock" | "network">;
    /** Addresses to begin with. */
    readonly peers: readonly Address[];
    /** Longest wait for one process, in milliseconds. */
    readonly timeoutMs: number;
}

/** Processes that are asked at once. */
const PARALLEL_CALLS = 32;

interface KnownProcess {
    readonly address: string;
    readonly state: string;
    readonly instance: string;
    readonly role: string;
    readonly dataCentre: string;
}

const askOne = async (options: FleetStatusOptions, known: KnownProcess): Promise<ProcessStatus> => {
    const { runtime, timeoutMs } = options;
    using deadline = timeoutSignal(runtime.clock, timeoutMs);
    const transport = runtime.network.transportTo(branded<Address>(known.address));
    try {
        const answer = await createClient(OperatorService, transport)
            .getStatus({}, { signal: deadline.signal });
        const { instance, role, dataCentre } = answer;
        return { ...known, instance, role, dataCentre, answer, error: undefined };
    }
    catch (error) {
        return { ...known, answer: undefined, error: errorMessage(error) };
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
    const witness = answers.find(answer => Number(answer.rejectedRevision) === rejectedRevision);
    const isRejectedNewer = rejectedRevision > revision;
    return {
        revision,
        processes: [...processes].sort(compareProcesses),
        rejectedRevision: isRejectedNewer ? rejectedRevision : 0,
        rejectedFindings: isRejectedNewer ? witness?.rejectedFindings ?? [] : [],
    };
};

/**
 * Asks the given processes, then those that they name, until nobody new is named.
 *
 * @param options - where to begin
 * @returns the status of all processes that were found
 */
export const readFleetStatus = async (options: FleetStatusOptions): Promise<FleetStatus> => {
    const found = new Map<string, ProcessStatus>();
    const waiting: KnownProcess[] = options.peers.map(address => ({
        address,
        state: "unknown",
        instance: address,
        role: "unknown",
        dataCentre: "unknown",
    }));
    const seen = new Set<string>(options.peers);
    while (waiting.length > 0) {
        const batch = waiting.splice(0, PARALLEL_CALLS);
        for (const status of await Promise.all(batch.map(known => askOne(options, known)))) {
            found.set(status.address, status);
            for (const member of status.answer?.members ?? []) {
                if (!seen.has(member.address)) {
                    seen.add(member.address);
                    waiting.push(member);
                }
            }
        }
    }
    // A removed process that does not answer is gone, not part of the fleet.
    return summarize([...found.values()].filter(({ answer, state }) => answer || state !== "dead"));
};

/**
 * Says in a few words how a process does.
 *
 * @param status - the process
 * @returns for example `cold, out`; `ok` when nothing is special
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
