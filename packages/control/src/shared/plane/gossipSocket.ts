/**
 * Gossip datagrams between processes: authenticated, validated, and small enough not to be fragmented.
 *
 * @packageDocumentation
 */

import { create, fromBinary, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import {
    type Address,
    type DatagramSocket,
    errorMessage,
    MAX_DATAGRAM_BYTES,
    type Runtime,
    sleep,
} from "@magnolialock/kernel";
import { type Gossip, GossipSchema, SealedMessageSchema } from "@magnolialock/protocol";
import type { DataCentreSummary, MemberReport } from "../../types/member.ts";
import { messageDropped } from "../controlEvents.ts";
import type { Membership } from "../membership/membership.ts";
import { randomSample } from "../membership/randomSample.ts";
import type { MessageAuthenticator } from "../messageAuthenticator.ts";
import {
    type Digest,
    fromDigestMessage,
    fromMemberMessage,
    fromSummaryMessage,
    toDigestMessage,
    toMemberMessage,
    toSummaryMessage,
} from "./gossipMessages.ts";

/** Message of a datagram: probe, answer, indirect probe or announcement. */
export type GossipKind = NonNullable<MessageInitShape<typeof GossipSchema>["kind"]>;

/** A received datagram that passed validation. */
export interface ReceivedGossip {
    /** Process that sent it. */
    readonly sender: MemberReport;
    /** The sender's configuration digest. */
    readonly digest: Digest;
    /** Message of the datagram. */
    readonly kind: Gossip["kind"];
}

/** Options of {@link GossipSocket}. */
export interface GossipSocketOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Authenticator for messages within the fleet. */
    readonly authenticator: MessageAuthenticator;
    /** Membership of the fleet; receives the reports in datagrams. */
    readonly membership: Membership;
    /** Returns this process's configuration digest. */
    readonly digest: () => Digest;
    /** Called for each valid datagram, after its reports have been applied. */
    readonly onGossip: (gossip: ReceivedGossip) => void;
}

/** Receiver of a datagram. */
export interface GossipTarget {
    /** Address of the process. */
    readonly address: Address;
    /** Data centre of the process, if known. */
    readonly dataCentre?: string | undefined;
}

/** Maximum number of reports in an ordinary datagram. */
const UPDATES_PER_DATAGRAM = 6;
/** Maximum number of reports in a datagram that lists members. */
const MEMBERS_PER_DATAGRAM = 8;
/** Maximum number of summaries of other data centres in an ordinary datagram. */
const SUMMARIES_PER_DATAGRAM = 1;
/** Delay between attempts to bind an address that is in use, in milliseconds. */
const OPEN_RETRY_INTERVAL_MS = 200;

/** Sends and receives datagrams. */
export class GossipSocket implements AsyncDisposable {
    /** Time at which the last valid datagram arrived, on the monotonic clock in milliseconds. */
    public lastReceivedAtMs = Number.NEGATIVE_INFINITY;
    private socket: DatagramSocket | undefined;

    /** @param options - runtime, authenticator, membership and handler */
    public constructor(private readonly options: GossipSocketOptions) {}

    /**
     * Binds the socket to the process's own address; retries while a previous process still uses it.
     *
     * @param signal - stops the attempts; a socket that was opened meanwhile is closed
     */
    public async open(signal: AbortSignal): Promise<void> {
        const { runtime, membership } = this.options;
        while (!this.socket && !signal.aborted) {
            try {
                this.socket = await runtime.network.openDatagramSocket(
                    membership.self.address,
                    (from, bytes) => this.receive(from, bytes),
                );
            }
            catch (error) {
                if (!errorMessage(error).includes("EADDRINUSE")) {
                    throw error;
                }
                await sleep(runtime.clock, OPEN_RETRY_INTERVAL_MS, signal).catch(() => {});
            }
        }
        if (signal.aborted) {
            await this[Symbol.asyncDispose]();
        }
    }

    /**
     * Sends a datagram, with queued reports and summaries piggybacked.
     *
     * @param target - the receiver
     * @param kind - message of the datagram
     */
    public send(target: GossipTarget, kind: GossipKind): void {
        const { membership, runtime } = this.options;
        const isLocal = target.dataCentre === membership.self.dataCentre;
        const updates = isLocal
            ? membership.updates.nextBatch(UPDATES_PER_DATAGRAM, membership.reachablePeers().length)
            : [];
        const summaries = isLocal
            ? randomSample(runtime.random, membership.otherDataCentres, SUMMARIES_PER_DATAGRAM)
            : [membership.summarizeOwnDataCentre()];
        this.sendSplitting(target.address, kind, updates, summaries);
    }

    /**
     * Sends all members of the own data centre and all summaries, in several datagrams. A target in another
     * data centre gets the summaries only.
     *
     * @param target - process that is joining
     */
    public sendMembers(target: GossipTarget): void {
        const { membership } = this.options;
        const isLocal = target.dataCentre === membership.self.dataCentre;
        const members = isLocal ? [...membership.members] : [];
        const summaries = [membership.summarizeOwnDataCentre(), ...membership.otherDataCentres];
        const kind: GossipKind = { case: "announcement", value: {} };
        while (members.length > 0) {
            this.sendSplitting(target.address, kind, members.splice(0, MEMBERS_PER_DATAGRAM), []);
        }
        while (summaries.length > 0) {
            this.sendSplitting(target.address, kind, [], summaries.splice(0, 2));
        }
    }

    /** Closes the socket. */
    public async [Symbol.asyncDispose](): Promise<void> {
        await this.socket?.[Symbol.asyncDispose]();
        this.socket = undefined;
    }

    private sendSplitting(
        address: Address,
        kind: GossipKind,
        updates: readonly MemberReport[],
        summaries: readonly DataCentreSummary[],
    ): void {
        const bytes = this.encode(kind, updates, summaries);
        if (bytes.length <= MAX_DATAGRAM_BYTES) {
            this.socket?.send(address, bytes);
            return;
        }
        // Long names can exceed the limit: halve the reports and drop the summaries.
        this.sendSplitting(address, kind, updates.slice(0, updates.length >> 1), []);
        if (updates.length > 1) {
            this.sendSplitting(
                address,
                { case: "announcement", value: {} },
                updates.slice(updates.length >> 1),
                [],
            );
        }
    }

    private encode(
        kind: GossipKind,
        updates: readonly MemberReport[],
        summaries: readonly DataCentreSummary[],
    ): Uint8Array {
        const { membership, digest, authenticator, runtime } = this.options;
        const nowMs = runtime.clock.nowMs();
        const payload = toBinary(
            GossipSchema,
            create(GossipSchema, {
                kind,
                sender: toMemberMessage(membership.selfReport),
                digest: toDigestMessage(digest()),
                updates: updates.map(toMemberMessage),
                summaries: summaries.map(summary => toSummaryMessage(summary, nowMs)),
            }),
        );
        return toBinary(SealedMessageSchema, create(SealedMessageSchema, authenticator.sign(payload)));
    }

    private receive(from: Address, bytes: Uint8Array): void {
        const gossip = this.decode(from, bytes);
        const sender = fromMemberMessage(gossip?.sender);
        if (!gossip || !sender) {
            return;
        }
        const { membership, runtime, onGossip } = this.options;
        this.lastReceivedAtMs = runtime.clock.nowMs();
        membership.applySenderReport(sender);
        for (const update of gossip.updates) {
            const report = fromMemberMessage(update);
            if (report) {
                membership.applyReport(report);
            }
        }
        for (const message of gossip.summaries) {
            const summary = fromSummaryMessage(message, this.lastReceivedAtMs);
            if (summary) {
                membership.applySummary(summary);
            }
        }
        onGossip({ sender, digest: fromDigestMessage(gossip.digest), kind: gossip.kind });
    }

    private decode(from: Address, bytes: Uint8Array): Gossip | undefined {
        const drop = (reason: string): undefined => {
            this.options.runtime.events.emit(messageDropped, { from, reason });
            return undefined;
        };
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            return drop(`${bytes.length} bytes exceed the maximum of ${MAX_DATAGRAM_BYTES} bytes`);
        }
        try {
            const payload = this.options.authenticator.verify(fromBinary(SealedMessageSchema, bytes));
            return payload ? fromBinary(GossipSchema, payload) : drop("authentication failed");
        }
        catch (error) {
            return drop(errorMessage(error));
        }
    }
}
