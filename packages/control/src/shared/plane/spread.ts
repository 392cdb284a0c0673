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
import { sampled } from "../membership/sampled.ts";
import type { ContentExchange } from "./contentExchange.ts";
import type { Digest } from "./gossipMessages.ts";
import type { GossipSocket } from "./gossipSocket.ts";

/** Options of {@link Spread}. */
export interface SpreadOptions {
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
const SENDERS_PER_DATA_CENTRE = 6;
/** Time before another peer is tried after a failed fetch, in milliseconds. */
const FETCH_RETRY_MS = 100;
/** Peers that are remembered as holders of news. */
const MAX_HOLDERS = 8;

interface Holder {
    readonly address: Address;
    readonly name: string;
    readonly digest: Digest;
}

/** Learns and announces revisions. */
export class Spread implements Disposable {
    private holders: Holder[] = [];
    private isFetching = false;
    private readonly subscriptions: readonly Disposable[];

    /** @param options - store, membership, socket and exchange */
    public constructor(private readonly options: SpreadOptions) {
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
    public consider(peer: MemberIdentity, digest: Digest): void {
        if (this.isNews(digest)) {
            this.holders = [{ address: peer.address, name: peer.name, digest }, ...this.holders]
                .slice(0, MAX_HOLDERS);
            void this.fetchNews();
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

    private isNews(digest: Digest): boolean {
        const { current, rejected } = this.options.store;
        const rejectedRevision = rejected?.revision ?? 0;
        const isNewer = digest.revision > (current?.revision ?? 0) && digest.revision !== rejectedRevision;
        return isNewer || digest.rejectedRevision > rejectedRevision;
    }

    private announce(): void {
        const { membership, runtime, socket } = this.options;
        const peers = membership.reachablePeers();
        for (const peer of sampled(runtime.random, peers, LOCAL_FAN_OUT)) {
            socket.send(peer, { case: "announcement", value: {} });
        }
        const probability = SENDERS_PER_DATA_CENTRE / (peers.length + 1);
        for (const dataCentre of membership.otherDataCentreNames()) {
            const [contact] = membership.contactsIn(dataCentre);
            if (contact && runtime.random.nextFloat() < probability) {
                socket.send(contact, { case: "announcement", value: {} });
            }
        }
    }

    private async fetchNews(): Promise<void> {
        const { runtime, exchange, signal } = this.options;
        if (this.isFetching) {
            return;
        }
        this.isFetching = true;
        for (let holder = this.nextHolder(); holder && !signal.aborted; holder = this.nextHolder()) {
            try {
                await exchange.fetch(holder.address, holder.name, signal);
            }
            catch (error) {
                if (signal.aborted || isAborted(error)) {
                    break;
                }
                runtime.events.emit(fetchFailed, { peer: holder.name, error: errorMessage(error) });
                await sleep(runtime.clock, FETCH_RETRY_MS, signal).catch(() => {});
            }
        }
        this.isFetching = false;
    }

    /** Takes the holder of the newest revision; holders of nothing new are dropped. */
    private nextHolder(): Holder | undefined {
        const useful = this.holders
            .filter(({ digest }) => this.isNews(digest))
            .sort((left, right) => right.digest.revision - left.digest.revision);
        const next = useful.shift();
        this.holders = useful;
        return next;
    }
}
