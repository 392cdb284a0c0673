/**
 * Exchange of reports between instances: each sends a short datagram to the others several times a second.
 * Safety never depends on a report: reports size each instance's share of the limits, balance load, and tell
 * which instance knows a newer published state.
 *
 * @packageDocumentation
 */

import {
    type Address,
    branded,
    type DataCentreId,
    type DatagramSocket,
    type IncarnationId,
    MAX_DATAGRAM_BYTES,
    shuffled,
    sleep,
} from "@magnolialock/kernel";
import type { DirectSettings } from "../types/directSettings.ts";
import type { NewsSource } from "../types/peerNews.ts";
import type { HeardPeer } from "./configurationEvidence.ts";
import type { DirectRuntime, ServiceState } from "./directContext.ts";
import { peerFound, peerLost, peerUnreadable } from "./directEvents.ts";
import type { FleetView } from "./fleetAllotment.ts";
import type { GroupHealth } from "./groupHealth.ts";
import { NewsSpreader } from "./newsSpreader.ts";
import {
    decodePeerReport,
    encodePeerNews,
    encodePeerReport,
    type PeerReport,
    reportKey,
} from "./peerReport.ts";
import type { PublishedStateStore } from "./publishedStateStore.ts";
import type { ServerDirectory } from "./serverDirectory.ts";
import { StateCatchUp } from "./stateCatchUp.ts";
import type { FleetWatches } from "./watchSchedule.ts";

/** Options of a {@link PeerExchange}. */
export interface PeerExchangeOptions {
    /** Runtime of the process. */
    readonly runtime: DirectRuntime;
    /** Settings of the process. */
    readonly settings: DirectSettings;
    /** Published state of the platform. */
    readonly store: PublishedStateStore;
    /** Backend servers; the exchange updates the load that other instances report. */
    readonly directory: ServerDirectory;
    /** Returns the states of the services, by name. */
    readonly services: () => ReadonlyMap<string, ServiceState>;
    /** News that the instances tell each other. */
    readonly news: NewsSource;
    /**
     * Fetches the published state that another instance knows.
     *
     * @param peer - address of the instance
     * @param signal - cancels the call
     * @returns the state, not decoded
     */
    readonly fetchState: (peer: Address, signal: AbortSignal) => Promise<unknown>;
    /** Called after the state of another instance was taken over. */
    readonly onFetched: () => void;
    /** Watch of the store, which the instances spread over time together. */
    readonly storeWatch: StoreWatch;
}

/** What an instance tells the others about its watch of the store, and hears from them. */
export interface StoreWatch {
    /** Time until its current watch ends, in milliseconds; undefined if there is none. */
    readonly watchEndsMs: number | undefined;
    /** Whether calls of this instance to the store time out. */
    readonly isSilent: boolean;
    /** Time since some instance found that open connections had gone silent, in milliseconds; undefined if none has. */
    readonly silenceAgeMs: number | undefined;
    /**
     * Handles the word of another instance that open connections have gone silent.
     *
     * @param ageMs - time since it was found, in milliseconds
     */
    handleSilence(ageMs: number): void;
}

/**
 * Shortest time between reports, in milliseconds: load reported later than this comes too late for the
 * selection of servers.
 */
const MIN_REPORT_PERIOD_MS = 200;
/** Bytes per second that one instance may send in reports; in a larger fleet it sends them less often. */
const REPORT_BYTES_PER_S = 8_000;
/**
 * Shortest silence after which an instance counts as lost, in milliseconds; a few lost datagrams must not
 * suffice.
 */
const MIN_PEER_TIMEOUT_MS = 3_500;
/**
 * The same minimum as a number of reports to other data centres, for large fleets that send reports less
 * often.
 */
const PEER_TIMEOUT_REPORTS = 3;
const MS_PER_SECOND = 1_000;
/**
 * Time for which a silent instance still counts towards the fleet size, in milliseconds: it may be
 * partitioned and still serve callers.
 */
const FLEET_MEMBER_LIFETIME_MS = 60_000;
/** Share of the fleet that an instance must know by name before it counts as settled. */
const SETTLED_SHARE = 0.85;
/** Largest fleet size that is believed: a wrong one would leave every instance without a share of any limit. */
const MAX_FLEET_SIZE = 4_096;
/** Smallest fleet size to assume: an instance that has not heard from any other may still be one of many. */
const MIN_FLEET_SIZE = 8;
/**
 * One in this many reports also goes to other data centres: load there matters less, and traffic between data
 * centres is expensive.
 */
const REMOTE_REPORT_INTERVAL = 5;
/**
 * Maximum number of receivers in other data centres per report; in a larger fleet a random sample suffices to
 * spread revisions and members.
 */
const MAX_REMOTE_RECEIVERS = 64;
/** Number of member addresses in a report. */
const MEMBERS_PER_REPORT = 8;
/**
 * Time for which an instance must have known the published state before it answers newcomers at once, in
 * milliseconds: in a fleet that starts as a whole everybody is one.
 */
const MIN_GREETER_AGE_MS = 5_000;
interface Peer {
    report: PeerReport;
    lastReportMs: number;
    isAlive: boolean;
}

/** Sends reports to the other instances and tracks theirs. */
export class PeerExchange implements Disposable {
    private readonly options: PeerExchangeOptions;
    private readonly incarnation: IncarnationId;
    private readonly peers = new Map<Address, Peer>();
    private readonly unconfirmed = new Set<Address>();
    private currentFleet: FleetView | undefined;
    private readonly stopping = new AbortController();
    private spreader: NewsSpreader | undefined;
    private readonly startedMs: number;
    private readonly catchUp: StateCatchUp;
    private socket: DatagramSocket | undefined;
    private reportCount = 0;
    private reportPeriodMs = MIN_REPORT_PERIOD_MS;
    /** Bytes sent as news since the last report; they delay the next one, so that both share one budget. */
    private newsBytes = 0;

    /** @param options - identity, store and directory */
    public constructor(options: PeerExchangeOptions) {
        this.options = options;
        this.startedMs = options.runtime.clock.nowMs();
        this.incarnation = branded<IncarnationId>(options.runtime.random.nextFloat().toString(36).slice(2));
        this.addSeeds(options.settings.seeds);
        this.catchUp = new StateCatchUp({
            ...options,
            peers: () => this.peers,
            expectsOthers: () => this.unconfirmed.size > 0,
            isStoreSilent: () => options.storeWatch.isSilent,
        });
    }

    /** Whether this instance knows what the others knew when it started, so that it may serve. */
    public get hasJoined(): boolean {
        return this.catchUp.hasJoined;
    }

    /**
     * The instances that may be alive; it sizes shares of the fleet's limits. An instance that has just started
     * takes the size from those it has heard, until it has heard from all.
     */
    public get fleet(): FleetView {
        if (!this.currentFleet) {
            const others: string[] = [];
            let size = MIN_FLEET_SIZE;
            for (const { isAlive, report } of this.peers.values()) {
                others.push(report.instance);
                size = Math.max(size, isAlive ? Math.min(MAX_FLEET_SIZE, report.heardInstances) : 0);
            }
            const known = others.length + 1;
            const isOld = this.options.runtime.clock.nowMs() - this.startedMs >= FLEET_MEMBER_LIFETIME_MS;
            const isSettled = isOld || known >= size * SETTLED_SHARE;
            this.currentFleet = { others, size: Math.max(size, known), isSettled };
        }
        return this.currentFleet;
    }

    /** Watches of the store of the live instances. */
    public get watches(): FleetWatches {
        const { runtime: { clock }, settings } = this.options;
        const nowMs = clock.nowMs();
        const alive = [...this.peers].filter(([, { isAlive }]) => isAlive);
        return {
            count: alive.length + 1,
            place: alive.filter(([address]) => address < settings.peers).length,
            othersEndMs: alive.flatMap(([, { lastReportMs, report }]) =>
                report.watchEndsMs === undefined ? [] : [lastReportMs + report.watchEndsMs - nowMs]
            ),
        };
    }

    /** The other instances as they were last heard, lost ones included. */
    public get heardPeers(): readonly HeardPeer[] {
        const nowMs = this.options.runtime.clock.nowMs();
        return [...this.peers.values()].map(({ lastReportMs, report }) => ({
            instance: report.instance,
            configurationVersion: report.configurationVersion,
            heardMs: nowMs - lastReportMs,
        }));
    }

    /** Data centre of each live instance, without this one. */
    public get aliveDataCentres(): readonly DataCentreId[] {
        return [...this.peers.values()].flatMap(({ isAlive, report }) => isAlive ? [report.dataCentre] : []);
    }

    /** Number of live instances, without this one. */
    public get aliveCount(): number {
        return this.aliveDataCentres.length;
    }

    /**
     * Adds addresses of possible instances; reports are sent to them until they answer.
     *
     * @param seeds - the addresses
     */
    public addSeeds(seeds: readonly Address[]): void {
        for (const seed of seeds) {
            if (seed !== this.options.settings.peers && !this.peers.has(seed)) {
                this.unconfirmed.add(seed);
            }
        }
    }

    /**
     * Handles a received datagram.
     *
     * @param from - its sender
     * @param bytes - its content
     */
    public receive(from: Address, bytes: Uint8Array): void {
        const { clock, events } = this.options.runtime;
        const report = decodePeerReport(bytes);
        if (!report) {
            events.emit(peerUnreadable, { from, bytes: bytes.length });
            return;
        }
        if (report.news) {
            this.options.news.applyNews(report.news);
        }
        if (report.isNewsOnly) {
            return;
        }
        const known = this.peers.get(from);
        if (!known?.isAlive || known.report.incarnation !== report.incarnation) {
            const { instance, incarnation, revision } = report;
            events.emit(peerFound, { peer: instance, incarnation, address: from, revision });
        }
        if (!known?.isAlive || known.report.heardInstances !== report.heardInstances) {
            this.currentFleet = undefined;
        }
        const peer = { report, lastReportMs: clock.nowMs(), isAlive: true };
        this.peers.set(from, peer);
        if (known?.report.incarnation !== report.incarnation) {
            this.greet(from);
        }
        this.addSeeds(report.members);
        this.unconfirmed.delete(from);
        if (report.silenceAgeMs !== undefined) {
            this.options.storeWatch.handleSilence(report.silenceAgeMs);
        }
        const groups = groupsByReportKey(this.options.services());
        for (const [key, sinceUpMs] of report.groupUpMs) {
            groups.get(key)?.applyPeerReport(sinceUpMs);
        }
        if (!this.hasJoined || this.catchUp.isBehind(peer)) {
            void this.catchUp.catchUp(this.stopping.signal);
        }
    }

    /**
     * Sends reports, and fetches newer states, until the exchange is disposed.
     *
     * @param socket - socket for the reports
     */
    public async run(socket: DatagramSocket): Promise<void> {
        const { clock, random } = this.options.runtime;
        const { signal } = this.stopping;
        this.socket = socket;
        this.spreader = this.createSpreader(socket);
        while (!signal.aborted) {
            this.expirePeers();
            this.updatePeerLoad();
            this.sendReport(socket);
            void this.catchUp.catchUp(signal);
            const newsDelayMs = this.newsBytes / REPORT_BYTES_PER_S * MS_PER_SECOND;
            this.newsBytes = 0;
            const delayMs = this.reportPeriodMs * (0.9 + random.nextFloat() / 5) + newsDelayMs;
            await sleep(clock, delayMs, signal).catch(() => {});
        }
    }

    /** Sends a report to all instances at once, as far as their number allows. */
    public announce(): void {
        if (this.socket) {
            this.reportTo(this.socket, this.selectReceivers(true), true);
        }
    }

    /** Stops the exchange. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
        this.spreader?.[Symbol.dispose]();
        this.catchUp[Symbol.dispose]();
    }

    /** Tells an instance that has just started what this one knows; it waits for that before it serves. */
    private greet(newcomer: Address): void {
        this.spreader?.greet(newcomer);
        if (this.hasJoined && this.options.store.ageMs >= MIN_GREETER_AGE_MS) {
            this.socket?.send(newcomer, this.encodeReport(false));
        }
    }

    private createSpreader(socket: DatagramSocket): NewsSpreader {
        const { news, runtime } = this.options;
        return new NewsSpreader({
            clock: runtime.clock,
            random: runtime.random,
            news,
            peers: () => [...this.peers.keys()],
            send: (to, toSend) => {
                const datagrams = encodePeerNews(toSend);
                datagrams.forEach(bytes => socket.send(to, bytes));
                const bytes = datagrams.reduce((sum, { length }) => sum + length, 0);
                this.newsBytes += bytes;
                return bytes;
            },
        });
    }

    private expirePeers(): void {
        const { clock, events } = this.options.runtime;
        const timeoutMs = Math.max(
            MIN_PEER_TIMEOUT_MS,
            PEER_TIMEOUT_REPORTS * REMOTE_REPORT_INTERVAL * this.reportPeriodMs,
        );
        if (!this.currentFleet?.isSettled) {
            this.currentFleet = undefined;
        }
        for (const [address, peer] of this.peers) {
            const silentMs = clock.nowMs() - peer.lastReportMs;
            if (peer.isAlive && silentMs > timeoutMs) {
                peer.isAlive = false;
                this.currentFleet = undefined;
                events.emit(peerLost, { peer: peer.report.instance, silentMs: Math.round(silentMs) });
            }
            if (silentMs > FLEET_MEMBER_LIFETIME_MS) {
                this.peers.delete(address);
                this.currentFleet = undefined;
            }
        }
    }

    private updatePeerLoad(): void {
        const runningByKey = new Map<number, number>();
        for (const { isAlive, report } of this.peers.values()) {
            for (const [key, running] of isAlive ? report.running : []) {
                runningByKey.set(key, (runningByKey.get(key) ?? 0) + running);
            }
        }
        for (const server of this.options.directory.all()) {
            server.peerRunning = runningByKey.get(server.reportKey) ?? 0;
        }
    }

    private sendReport(socket: DatagramSocket): void {
        const includesRemote = this.reportCount++ % REMOTE_REPORT_INTERVAL === 0;
        const receivers = this.selectReceivers(includesRemote);
        const bytes = this.reportTo(socket, receivers, includesRemote);
        if (includesRemote) {
            const localCount = this.selectReceivers(false).length;
            const meanBytes = bytes.length
                * (localCount + (receivers.length - localCount) / REMOTE_REPORT_INTERVAL);
            this.reportPeriodMs = Math.max(
                MIN_REPORT_PERIOD_MS,
                meanBytes / REPORT_BYTES_PER_S * MS_PER_SECOND,
            );
        }
    }

    /** Returns the bytes of the report. */
    private reportTo(
        socket: DatagramSocket,
        receivers: readonly Address[],
        includesMembers: boolean,
    ): Uint8Array {
        const bytes = this.encodeReport(includesMembers);
        receivers.forEach(receiver => socket.send(receiver, bytes));
        return bytes;
    }

    /**
     * Encodes the report of this instance.
     *
     * @param includesMembers - whether it names other instances
     */
    public encodeReport(includesMembers: boolean): Uint8Array {
        const { random } = this.options.runtime;
        const { settings, directory, services, store } = this.options;
        const running = new Map<number, number>();
        for (const { health, reportKey: key } of directory.all()) {
            if (health.running > 0) {
                running.set(key, health.running);
            }
        }
        const groupUpMs = new Map<number, number>();
        for (const [key, health] of groupsByReportKey(services())) {
            if (Number.isFinite(health.sinceUpMs)) {
                groupUpMs.set(key, Math.round(health.sinceUpMs));
            }
        }
        const known = includesMembers ? [...this.peers.keys()] : [];
        const report: PeerReport = {
            instance: settings.instance,
            incarnation: this.incarnation,
            dataCentre: settings.dataCentre,
            ...store.version,
            revisionBeforeReturn: store.revisionBeforeReturn,
            configurationVersion: store.configurationVersion,
            stateAgeMs: store.ageMs,
            watchEndsMs: this.options.storeWatch.watchEndsMs,
            silenceAgeMs: this.options.storeWatch.silenceAgeMs,
            running,
            groupUpMs,
            members: shuffled(random, known).slice(0, MEMBERS_PER_REPORT),
            heardInstances: this.peers.size + 1,
            news: this.options.news.sampleNews(),
        };
        const bytes = encodePeerReport(report);
        return bytes.length <= MAX_DATAGRAM_BYTES
            ? bytes
            : encodePeerReport({ ...report, members: [], news: undefined, running: busiestServers(running) });
    }

    /**
     * Selects all instances of this data centre and, for reports that include remote ones, a sample of the
     * others and the unconfirmed addresses.
     */
    private selectReceivers(includesRemote: boolean): Address[] {
        const { settings, runtime } = this.options;
        const local: Address[] = [];
        const remote: Address[] = [];
        for (const [address, { report }] of this.peers) {
            (report.dataCentre === settings.dataCentre ? local : remote).push(address);
        }
        const sample = remote.length <= MAX_REMOTE_RECEIVERS
            ? remote
            : shuffled(runtime.random, remote).slice(0, MAX_REMOTE_RECEIVERS);
        return includesRemote ? [...local, ...sample, ...this.unconfirmed] : local;
    }
}

/** Returns the groups of all services by their key in the reports. */
const groupsByReportKey = (
    services: ReadonlyMap<string, ServiceState>,
): ReadonlyMap<number, GroupHealth> => {
    const groups = new Map<number, GroupHealth>();
    for (const [service, state] of services) {
        for (const [name, health] of state.groups.all()) {
            groups.set(reportKey(`${service}/${name}`), health);
        }
    }
    return groups;
};

/** Selects the servers with the most requests, as many as are certain to fit into one datagram. */
const busiestServers = (running: ReadonlyMap<number, number>): ReadonlyMap<number, number> => {
    const maxEntries = 100;
    return new Map([...running].sort(([, left], [, right]) => right - left).slice(0, maxEntries));
};
