/**
 * The agents of the other ranks: discovered through the entries' list of backend servers and called over
 * HTTP.
 *
 * @packageDocumentation
 */

import { SERVICE_SERVERS_PATH, type ServiceServers } from "@magnolialock/direct/src/types/publishedState.ts";
import {
    type Address,
    type BackendServerId,
    branded,
    type Clock,
    createBoundedConnector,
    errorMessage,
    type EventLog,
    ProtocolError,
    readBounded,
    shuffled,
    sleep,
    splitAddress,
    timeoutSignal,
    untilAborted,
} from "@magnolialock/kernel";
import type { RandomSource } from "@magnolialock/kernel";
import { Agent, request } from "undici";
import { decodeServiceServers } from "../shared/decodeServiceServers.ts";
import { statusTimeoutMs } from "../shared/groupTiming.ts";
import { rankListFailed } from "../shared/rankEvents.ts";
import type { HoldOrder, RankPeer } from "../shared/switchRound.ts";
import type { HoldCall, HoldReply, RankStatus, RoundCall, RoundReply } from "../types/rankMessages.ts";
import type { GroupMembership, OrderResult, RankReport, RankServer } from "../types/rankServer.ts";
import type { RankSettings } from "../types/rankSettings.ts";
import { COMPRESSED_ENCODING, decodeJson, type EncodedJson, encodeJson } from "./compressedJson.ts";

/** Options of {@link RankPeers}. */
export interface RankPeersOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Settings of the agent. */
    readonly settings: RankSettings;
    /**
     * Opens the server of another rank.
     *
     * @param address - where it listens
     */
    readonly openServer: (address: Address) => RankServer & AsyncDisposable;
}

/** Path of an agent's status; its query parameters name the group and the rank of the requesting agent. */
export const STATUS_PATH = "/rank/status";
/** Path of the state of an agent's rank, without the other data of the status. */
export const REPORT_PATH = "/rank/report";
/** Path of the calls of a round. */
export const CALL_PATH = "/rank/call";
/** Path of the calls about a held pass. */
export const HOLD_PATH = "/rank/hold";
/** Largest response of an agent or entry, in bytes: far above the map or server list of a large fleet. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/** Time for opening a connection, in milliseconds; no call waits longer. */
const CONNECT_TIMEOUT_MS = 1_500;
/** Connections to agents and entries. */
const AGENTS = new Agent({
    connect: createBoundedConnector({ timeoutMs: CONNECT_TIMEOUT_MS, maxBodyBytes: MAX_RESPONSE_BYTES }),
});
/** Time between reads of the server list, in milliseconds; a restarted server is found within this time. */
const LIST_PERIOD_MS = 4_000;
const LIST_TIMEOUT_MS = 1_000;
/** Time between reads of the server list while they fail, in milliseconds. */
const LIST_RETRY_MS = 200;
/**
 * Time between reads of the server list while ranks of the own group are missing, in milliseconds: no map
 * switch is possible without them.
 */
const INCOMPLETE_LIST_PERIOD_MS = 500;
/** Timeout of a read of the state of one rank, in milliseconds. */
const REPORT_TIMEOUT_MS = 500;
/** Timeout of a call of a round, in milliseconds; each of the rank's orders may need a second attempt. */
const CALL_TIMEOUT_MS = 800;
/**
 * Timeout of a call about a held pass, in milliseconds; the leader does nothing else until the round ends.
 */
const HOLD_TIMEOUT_MS = 1_500;
/** Timeout of an order to hold a pass, in milliseconds; the order is then sent again. */
const HOLD_ORDER_TIMEOUT_MS = 60;
/**
 * Time between attempts to read the group of an agent whose group is unknown or has another epoch, in
 * milliseconds.
 */
const GROUP_RETRY_MS = 500;
/**
 * Time between reads of the group of an agent that belongs to another group, in milliseconds. Servers hardly
 * ever change their group, and there are many groups.
 */
const FOREIGN_GROUP_PERIOD_MS = 10_000;

interface KnownAgent {
    readonly address: Address;
    group?: GroupMembership | undefined;
    lastReadMs: number;
}

/**
 * Returns the time after which an agent's group is read again, in milliseconds: never for the current members
 * of the own group, whose statuses tell when they leave it.
 */
const rereadAfterMs = (known: GroupMembership | undefined, own: GroupMembership): number => {
    if (known && known.name !== own.name) {
        return FOREIGN_GROUP_PERIOD_MS;
    }
    return known?.epoch === own.epoch ? Number.POSITIVE_INFINITY : GROUP_RETRY_MS;
};

/** Discovers the agents of the other ranks and creates the clients that call them. */
export class RankPeers implements Disposable {
    private readonly options: RankPeersOptions;
    private readonly agents = new Map<Address, KnownAgent>();
    private readonly stopping = new AbortController();
    private current: ServiceServers | undefined;
    private lacksRanks = false;
    private readonly compressedMessages = new WeakMap<RoundCall | HoldCall, EncodedJson>();
    /** Agents that have sent a compressed body; agents of older releases do not decode one. */
    private readonly compressingOrigins = new Set<string>();

    /** @param options - settings, clock, event log and access to other ranks' servers */
    public constructor(options: RankPeersOptions) {
        this.options = options;
    }

    /** Last view of the service that an entry returned; undefined before the first. */
    public get view(): ServiceServers | undefined {
        return this.current;
    }

    /** Identifier of the agent's own backend server; undefined while the view does not list it. */
    public get ownServer(): BackendServerId | undefined {
        return this.current?.servers.find(({ address }) => address === this.options.settings.server)?.id;
    }

    /** Reads the server list periodically until disposal. */
    public async run(): Promise<void> {
        const { clock, events } = this.options;
        const { signal } = this.stopping;
        let isFailing = false;
        while (!signal.aborted) {
            try {
                this.current = await this.readServerList();
                isFailing = false;
            }
            catch (error) {
                if (!isFailing) {
                    events.emit(rankListFailed, { error: errorMessage(error) });
                }
                isFailing = true;
            }
            const readMs = clock.nowMs();
            do {
                await sleep(clock, isFailing ? LIST_RETRY_MS : INCOMPLETE_LIST_PERIOD_MS, signal).catch(
                    () => {},
                );
            }
            while (
                !signal.aborted && !isFailing && !this.lacksRanks && clock.nowMs() - readMs < LIST_PERIOD_MS
            );
        }
    }

    /**
     * Lists the known agents of the other ranks of a group.
     *
     * @param group - group of the agent's own rank
     */
    public async peersOf(group: GroupMembership): Promise<RankPeer[]> {
        const { clock, settings } = this.options;
        const { port } = splitAddress(settings.listen);
        const addresses = new Set(
            (this.current?.servers ?? [])
                .filter(({ address }) => address !== settings.server)
                .map(({ address }) => branded<Address>(`${splitAddress(address).host}:${port}`)),
        );
        for (const address of this.agents.keys()) {
            if (!addresses.has(address)) {
                this.agents.delete(address);
                this.compressingOrigins.delete(`http://${address}`);
            }
        }
        const staleAgents: KnownAgent[] = [];
        for (const address of addresses) {
            const agent = this.agents.get(address) ?? { address, lastReadMs: Number.NEGATIVE_INFINITY };
            this.agents.set(address, agent);
            if (clock.nowMs() - agent.lastReadMs >= rereadAfterMs(agent.group, group)) {
                staleAgents.push(agent);
            }
        }
        await Promise.all(staleAgents.map(agent => this.readGroup(agent)));
        const peers = [...this.agents.values()].flatMap(agent =>
            agent.group?.name === group.name && agent.group.epoch === group.epoch
                ? [this.createPeer(agent, agent.group.rank, group)]
                : []
        );
        this.lacksRanks = peers.length + 1 < group.size;
        return peers;
    }

    /** Stops reading the server list. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
    }

    /** An agent that does not answer has no known group, so the leader sees that a rank is missing. */
    private async readGroup(agent: KnownAgent): Promise<void> {
        agent.lastReadMs = this.options.clock.nowMs();
        const [answer] = await Promise.allSettled([this.readReport(agent.address)]);
        agent.group = answer.status === "fulfilled" ? answer.value.group : undefined;
    }

    private createPeer({ address }: KnownAgent, rank: number, ownGroup: GroupMembership): RankPeer {
        return {
            rank,
            status: () => this.readStatus(address, ownGroup),
            report: () => this.readReport(address),
            sendCall: call => this.sendCall(address, call),
            sendHoldCall: call =>
                this.call<HoldReply>(`http://${address}${HOLD_PATH}`, call, HOLD_TIMEOUT_MS),
            hold: order => this.sendHoldOrder(address, order),
        };
    }

    private async sendHoldOrder(agent: Address, { epoch, pass, token }: HoldOrder): Promise<OrderResult> {
        const { host } = splitAddress(agent);
        const listed = this.current?.servers.find(({ address }) => splitAddress(address).host === host);
        if (!listed) {
            return "refused";
        }
        await using server = this.options.openServer(listed.address);
        using timeout = timeoutSignal(this.options.clock, HOLD_ORDER_TIMEOUT_MS);
        return await server.order({ kind: "hold", pass }, epoch, token, timeout.signal);
    }

    private readStatus(address: Address, { name, rank, size }: GroupMembership): Promise<RankStatus> {
        const query = new URLSearchParams({ group: name, rank: String(rank) });
        return this.call(`http://${address}${STATUS_PATH}?${query}`, undefined, statusTimeoutMs(size));
    }

    private readReport(address: Address): Promise<RankReport> {
        return this.call(`http://${address}${REPORT_PATH}`, undefined, REPORT_TIMEOUT_MS);
    }

    private sendCall(address: Address, call: RoundCall): Promise<RoundReply> {
        return this.call(`http://${address}${CALL_PATH}`, call, CALL_TIMEOUT_MS);
    }

    private async readServerList(): Promise<ServiceServers> {
        const { random, settings } = this.options;
        let lastError: unknown = new ProtocolError("no entries are configured");
        for (const entry of shuffled(random, settings.entries)) {
            try {
                const url = `http://${entry}${SERVICE_SERVERS_PATH}${encodeURIComponent(settings.service)}`;
                const view = decodeServiceServers(await this.call<unknown>(url, undefined, LIST_TIMEOUT_MS));
                if (view.servers.length > 0) {
                    return view;
                }
                lastError = new ProtocolError(`entry ${entry} lists no backend servers yet`);
            }
            catch (error) {
                lastError = error;
            }
        }
        throw lastError;
    }

    private async call<T>(
        url: string,
        message: RoundCall | HoldCall | undefined,
        timeoutMs: number,
    ): Promise<T> {
        using timeout = timeoutSignal(this.options.clock, timeoutMs);
        const { origin } = new URL(url);
        const encoded = message && this.encodeMessage(message, this.compressingOrigins.has(origin));
        const response = await untilAborted(
            request(url, {
                dispatcher: AGENTS,
                signal: timeout.signal,
                method: encoded ? "POST" : "GET",
                headers: { ...encoded?.headers, "accept-encoding": COMPRESSED_ENCODING },
                ...encoded && { body: encoded.body },
            }),
            timeout.signal,
        );
        const encoding = response.headers["content-encoding"]?.toString();
        if (encoding === COMPRESSED_ENCODING) {
            this.compressingOrigins.add(origin);
        }
        const body = decodeJson(await readBounded(response.body, MAX_RESPONSE_BYTES), encoding);
        if (response.statusCode !== 200) {
            throw new ProtocolError(`${url} answered with status ${response.statusCode}`);
        }
        if (typeof body !== "object" || !body) {
            throw new ProtocolError(`${url} answered without an object`);
        }
        return body as T;
    }

    /** Encodes a message once for all agents that get it. */
    private encodeMessage(message: RoundCall | HoldCall, isCompressionAccepted: boolean): EncodedJson {
        if (!isCompressionAccepted) {
            return encodeJson(message, false);
        }
        let encoded = this.compressedMessages.get(message);
        if (!encoded) {
            encoded = encodeJson(message, true);
            this.compressedMessages.set(message, encoded);
        }
        return encoded;
    }
}
