/**
 * Epidemic spread of revisions: a process that learns a newer one fetches it and announces it to a few others.
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
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Configuration in force. */
    readonly store: ConfigurationStore;
    /** Who is in the fleet. */
    readonly membership: Membership;
    /** Where announcements go out. */
    readonly socket: GossipSocket;
    /** Fetches contents. */
    readonly exchange: ContentExchange;
    /** Ends the tasks. */
    readonly signal: AbortSignal;
}

/** Members of the own data centre that hear of a change from one process. */
const LOCAL_FAN_OUT = 4;
/** Processes of a data centre that tell another data centre of a change, on average. */
const CROSS_DATA_CENTRE_SENDERS = 6;
/** Time before another peer is tried after a failed fetch, in milliseconds. */
const FETCH_RETRY_DELAY_MS = 100;
/** After this many failures a peer sends a whole content although it has just sent one. */
const FULL_CONTENT_AFTER_FAILURES = 3;
/** Peers that are remembered as holders of news. */
const MAX_FETCH_SOURCES = 8;

interface FetchSource {
    readonly address: Address;
    readonly name: string;
    readonly digest: Digest;
}

/** Learns and announces revisions. */
export class RevisionDisseminator implements Disposable {
    private sources: FetchSource[] = [];
    private isFetching = false;
    /** Fetches that failed since the last good one. */
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
     * Takes a peer's digest; fetches what is new there.
     *
     * @param peer - who sent it
     * @param digest - what it knows
     */
    public handleDigest(peer: MemberIdentity, digest: Digest): void {
        if (this.hasUnknownRevision(digest)) {
            this.sources = [{ address: peer.address, name: peer.name, digest }, ...this.sources]
                .slice(0, MAX_FETCH_SOURCES);
            void this.fetchUnknownRevisions();
        }
    }

    /**
     * Tells whether a peer lacks something that this process knows.
     *
     * @param digest - what the peer knows
     * @returns true when an announcement would help it
     */
    public isBehind(digest: Digest): boolean {
        const { current, rejected } = this.options.store;
        return digest.revision < (current?.revision ?? 0)
            || digest.rejectedRevision < (rejected?.revision ?? 0);
    }

    /** Ends the announcements. */
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

    /** Takes the holder of the newest revision; holders of nothing new are dropped. */
    private nextSource(): FetchSource | undefined {
        const useful = this.sources
            .filter(({ digest }) => this.hasUnknownRevision(digest))
            .sort((left, right) => right.digest.revision - left.digest.revision);
        const next = useful.shift();
        this.sources = useful;
        return next;
    }
}
