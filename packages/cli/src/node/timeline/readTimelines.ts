/**
 * Reads the recorded events of several processes over their control addresses.
 *
 * @packageDocumentation
 */

import { type Client, ConnectError, createClient } from "@connectrpc/connect";
import { type Address, type Finding, type Network, type TimelineEntry } from "@magnolialock/kernel";
import { type GetStatusResponse, OperatorService, type TimelineEvent } from "@magnolialock/protocol";

/** Criteria of the events to show; an undefined criterion matches every event. */
export interface TimelineFilter {
    /** Identifier of a request. */
    readonly request?: string | undefined;
    /** Name of a backend server. */
    readonly server?: string | undefined;
    /** Name of a data centre. */
    readonly dataCentre?: string | undefined;
    /** Revision of the configuration. */
    readonly revision?: string | undefined;
}

/** Options of {@link readTimelines}. */
export interface ReadTimelinesOptions {
    /** Network for calls to the processes. */
    readonly network: Network;
    /** Control addresses of the processes. */
    readonly peers: readonly Address[];
    /** Criteria that events must match. */
    readonly filter: TimelineFilter;
    /** Whether to keep reading new events. */
    readonly follow: boolean;
    /** Stops reading. */
    readonly signal: AbortSignal;
    /** Receives each event; events of different processes arrive in no particular order. */
    readonly onEntry: (entry: TimelineEntry) => void;
}

const toEntry = (event: TimelineEvent): TimelineEntry => ({
    time: { wallMs: event.wallMs, counter: event.counter },
    instance: event.instance,
    number: event.number,
    name: event.name,
    fields: event.fields,
});

/**
 * Tells whether an event matches a filter.
 *
 * @param filter - criteria to match
 * @param entry - event to test
 * @param status - status of the process that logged the event, if known
 * @returns true when the event matches
 */
export const passesFilter = (
    filter: TimelineFilter,
    entry: TimelineEntry,
    status: Pick<GetStatusResponse, "dataCentre" | "server"> | undefined,
): boolean => {
    const { request, server, dataCentre, revision } = filter;
    const { fields } = entry;
    return (request === undefined || fields["requestId"] === request)
        && (revision === undefined || fields["revision"] === revision)
        && (server === undefined || fields["server"] === server || status?.server === server)
        && (dataCentre === undefined || fields["dataCentre"] === dataCentre
            || status?.dataCentre === dataCentre);
};

/** Fetches the status of a process; only filters by server or data centre need it. */
const fetchStatusForFilter = async (
    client: Client<typeof OperatorService>,
    options: ReadTimelinesOptions,
): Promise<GetStatusResponse | undefined> => {
    const { filter, signal } = options;
    return filter.server === undefined && filter.dataCentre === undefined
        ? undefined
        : await client.getStatus({}, { signal });
};

const readPeer = async (peer: Address, options: ReadTimelinesOptions): Promise<Finding | undefined> => {
    const { network, filter, follow, signal, onEntry } = options;
    const client = createClient(OperatorService, network.transportTo(peer));
    try {
        const status = await fetchStatusForFilter(client, options);
        for await (const event of client.readTimeline({ follow }, { signal })) {
            const entry = toEntry(event);
            if (passesFilter(filter, entry, status)) {
                onEntry(entry);
            }
        }
        return undefined;
    }
    catch (error) {
        return signal.aborted
            ? undefined
            : {
                source: peer,
                message: `its time line cannot be read: ${ConnectError.from(error).rawMessage}`,
            };
    }
};

/**
 * Reads the events of several processes concurrently.
 *
 * @param options - processes, filter and event callback
 * @returns a finding for each process that cannot be read
 */
export const readTimelines = async (options: ReadTimelinesOptions): Promise<Finding[]> => {
    const findings = await Promise.all(options.peers.map(peer => readPeer(peer, options)));
    return findings.filter(finding => finding !== undefined);
};
