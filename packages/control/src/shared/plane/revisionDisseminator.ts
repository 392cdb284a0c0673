/**
 * Epidemic dissemination of revisions: a process that learns of a newer one fetches it and announces it to a
 * few others.
 *
 * @packageDocumentation
 */

import { type Address, errorMessage, isAborted, type Runtime, sleep } from "@magnolialock/kernel";
import type { MemberIdentity } from "../../types/member.ts";
import type { ConfigurationStore } from "../configurationStore.ts";
import { fetchFailed } from "../controlEvents.ts";
import type { Membership } from "../membership/membership.ts";
import { randomSample } from "../membership/randomSample.ts";
import type { ContentExchange } from "./contentExchange.ts";
import type { Digest } from "./gossipMessages.ts";
import type { GossipSocket } from "./gossipSocket.ts";

/** Options of {@link RevisionDisseminator}. */
export interface RevisionDisseminatorOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Configuration in force. */
    readonly store: ConfigurationStore;
    /** Membership of the fleet. */
    readonly membership: Membership;
    /** Socket that sends the announcements. */
    readonly socket: GossipSocket;
    /** Fetches contents from peers. */
    readonly exchange: ContentExchange;
    /** Stops the tasks. */
    readonly signal: AbortSignal;
}

/** Number of members of the own data centre to which each process announces a change. */
const LOCAL_FAN_OUT = 4;
/** Mean number of processes of a data centre that announce a change to each other data centre. */
const CROSS_DATA_CENTRE_SENDERS = 6;
/** Delay after a failed fetch before the next source is tried, in milliseconds. */
const FETCH_RETRY_DELAY_MS = 100;
/** Number of failures after which peers may not refuse a full content on the ground of a recent one. */
const FULL_CONTENT_AFTER_FAILURES = 3;
/** Maximum number of peers kept as sources of unknown revisions. */
const MAX_FETCH_SOURCES = 8;

interface FetchSource {
    readonly address: Address;
    readonly name: string;
    readonly digest: Digest;
}

/** Fetches unknown revisions from peers and announces new ones. */
export class RevisionDisseminator implements Disposable {
    private sources: FetchSource[] = [];
    private isFetching = false;
    /** Number of failed fetches since the last successful one. */
    private failureCount = 0;
    private readonly subscriptions: readonly Disposable[];

    /** @param options - store, membership, socket and exchange */
    public constructor(private readonly options: RevisionDisseminatorOptions) {
        this.subscriptions = [
            options.store.onChange(() => this.announce()),
            options.store.onRejected(() => this.announce()),
        ];
    }

    /**
     * Handles a peer's digest; starts a fetch if it contains an unknown revision.
     *
     * @param peer - peer that sent it
     * @param digest - its configuration digest
     */
    public handleDigest(peer: MemberIdentity, digest: Digest): void {
        if (this.hasUnknownRevision(digest)) {
            this.sources = [{ address: peer.address, name: peer.name, digest }, ...this.sources]
                .slice(0, MAX_FETCH_SOURCES);
            void this.fetchUnknownRevisions();
        }
    }

    /**
     * Tells whether a peer lacks a revision that this process knows.
     *
     * @param digest - the peer's configuration digest
     * @returns true if the peer should get an announcement
     */
    public isBehind(digest: Digest): boolean {
        const { current, rejected } = this.options.store;
        return digest.revision < (current?.revision ?? 0)
            || digest.rejectedRevision < (rejected?.revision ?? 0);
    }

    /** Unsubscribes from the store. */
    public [Symbol.dispose](): void {
        for (const subscription of this.subscriptions) {
            subscription[Symbol.dispose]();
        }
    }

    private hasUnknownRevision(digest: Digest): boolean {
        const { current, rejected } = this.options.store;
        const rejectedRevision = rejected?.revision ?? 0;
        const isNewer = digest.revision > (current?.revision ?? 0) && digest.revision !== rejectedRevision;
        return isNewer || digest.rejectedRevision > rejectedRevision;
    }

    private announce(): void {
        const { membership, runtime, socket } = this.options;
        const peers = membership.reachablePeers();
        for (const peer of randomSample(runtime.random, peers, LOCAL_FAN_OUT)) {
            socket.send(peer, { case: "announcement", value: {} });
        }
        const probability = CROSS_DATA_CENTRE_SENDERS / (peers.length + 1);
        for (const dataCentre of membership.otherDataCentreNames()) {
            const [contact] = membership.sampleContacts(dataCentre);
            if (contact && runtime.random.nextFloat() < probability) {
                socket.send(contact, { case: "announcement", value: {} });
            }
        }
    }

    private async fetchUnknownRevisions(): Promise<void> {
        const { runtime, exchange, signal } = this.options;
        if (this.isFetching) {
            return;
        }
        this.isFetching = true;
        for (let source = this.nextSource(); source && !signal.aborted; source = this.nextSource()) {
            try {
                const mayRefuse = this.failureCount < FULL_CONTENT_AFTER_FAILURES;
                await exchange.fetch(source.address, source.name, signal, mayRefuse);
                this.failureCount = 0;
            }
            catch (error) {
                if (signal.aborted || isAborted(error)) {
                    break;
                }
                this.failureCount++;
                runtime.events.emit(fetchFailed, { peer: source.name, error: errorMessage(error) });
                await sleep(runtime.clock, FETCH_RETRY_DELAY_MS, signal).catch(() => {});
            }
        }
        this.isFetching = false;
    }

    /**
     * Removes and returns the source with the newest revision; discards sources without an unknown revision.
     */
    private nextSource(): FetchSource | undefined {
        const useful = this.sources
            .filter(({ digest }) => this.hasUnknownRevision(digest))
            .sort((left, right) => right.digest.revision - left.digest.revision);
        const next = useful.shift();
        this.sources = useful;
        return next;
    }
}
