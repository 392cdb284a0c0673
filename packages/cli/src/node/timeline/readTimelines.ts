/**
 * Reads the time lines of several processes.
 *
 * @packageDocumentation
 */

import { type Client, ConnectError, createClient } from "@connectrpc/connect";
import { type Address, type Finding, type Network, type TimelineEntry } from "@magnolialock/kernel";
import { type GetStatusResponse, OperatorService, type TimelineEvent } from "@magnolialock/protocol";

/** Which events an operator wants to see; a filter that is undefined lets everything pass. */
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
    /** Calls to the processes. */
    readonly network: Network;
    /** Addresses of the processes. */
    readonly peers: readonly Address[];
    /** Which events to give. */
    readonly filter: TimelineFilter;
    /** Whether to wait for new events. */
    readonly follow: boolean;
    /** Ends the reading. */
    readonly signal: AbortSignal;
    /** Gets each event; those of different processes come in no order. */
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
 * Tells whether an event passes a filter.
 *
 * @param filter - what the operator wants to see
 * @param entry - the event
 * @param status - process that logged it, as far as it is known
 * @returns true when it is wanted
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

/** Asks a process where it stands; only filters by place need it. */
const readPlace = async (
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
        const place = await readPlace(client, options);
        for await (const event of client.readTimeline({ follow }, { signal })) {
            const entry = toEntry(event);
            if (passesFilter(filter, entry, place)) {
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
 * Reads the events of all processes.
 *
 * @param options - processes, filter and receiver
 * @returns a finding for each process that could not be read
 */
export const readTimelines = async (options: ReadTimelinesOptions): Promise<Finding[]> => {
    const findings = await Promise.all(options.peers.map(peer => readPeer(peer, options)));
    return findings.filter(finding => finding !== undefined);
};
