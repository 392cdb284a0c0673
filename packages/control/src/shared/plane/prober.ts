/**
 * Questions to other processes, direct and through others, and the answers to theirs.
 *
 * @packageDocumentation
 */

import {
    type Address,
    branded,
    createDeferred,
    type Deferred,
    isAddress,
    type Runtime,
    type Timer,
} from "@magnolialock/kernel";
import type { MemberIdentity, MemberReport } from "../../types/member.ts";
import type { FreshnessTracker } from "./freshnessTracker.ts";
import type { Digest } from "./gossipMessages.ts";
import type { GossipKind, GossipSocket, GossipTarget, ReceivedGossip } from "./gossipSocket.ts";

/** A process's answer. */
export interface ProbeReply {
    /** Who answered. */
    readonly sender: MemberReport;
    /** What it knows of the configuration. */
    readonly digest: Digest;
}

/** Options of {@link Prober}. */
export interface ProberOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Where datagrams go out. */
    readonly socket: GossipSocket;
    /** Takes the evidence of answers. */
    readonly freshness: FreshnessTracker;
}

interface PendingProbe {
    readonly sentAtMs: number;
    readonly reply: Deferred<ProbeReply | undefined>;
    readonly timer: Timer;
}

const MAX_NONCE = 0x7fffffff;
/** Longest wait for an answer on behalf of another process, in milliseconds. */
const INDIRECT_TIMEOUT_MS = 500;
/** Questions on behalf of others that are open at once. */
const MAX_INDIRECT_PROBES = 64;

/** Asks and answers. */
export class Prober {
    private readonly pending = new Map<number, PendingProbe>();
    private indirectCount = 0;

    /** @param options - surroundings, socket and freshness */
    public constructor(private readonly options: ProberOptions) {}

    /**
     * Asks a process.
     *
     * @param target - the process
     * @param timeoutMs - longest wait, in milliseconds
     * @param wantsMembers - whether it should also list its members
     * @returns its answer; undefined when none came in time
     */
    public probe(
        target: GossipTarget,
        timeoutMs: number,
        wantsMembers = false,
    ): Promise<ProbeReply | undefined> {
        const { nonce, reply } = this.registerProbe(timeoutMs);
        this.options.socket.send(target, { case: "probe", value: { nonce, wantsMembers } });
        return reply;
    }

    /**
     * Asks a process through others.
     *
     * @param target - the process
     * @param relays - processes that pass the question on
     * @param timeoutMs - longest wait, in milliseconds
     * @returns an answer that came back; undefined when none came in time
     */
    public probeIndirectly(
        target: MemberIdentity,
        relays: readonly MemberIdentity[],
        timeoutMs: number,
    ): Promise<ProbeReply | undefined> {
        const { nonce, reply } = this.registerProbe(timeoutMs);
        for (const relay of relays) {
            this.options.socket.send(relay, { case: "indirect", value: { nonce, target: target.address } });
        }
        return reply;
    }

    /**
     * Takes a datagram that is a question or an answer.
     *
     * @param gossip - the datagram
     */
    public handleGossip(gossip: ReceivedGossip): void {
        const { sender, kind } = gossip;
        if (kind.case === "probe") {
            this.sendAnswer(sender, kind.value.nonce);
            if (kind.value.wantsMembers) {
                this.options.socket.sendMembers(sender);
            }
        }
        else if (kind.case === "answer") {
            this.resolveProbe(kind.value.nonce, gossip);
        }
        else if (kind.case === "indirect" && isAddress(kind.value.target)) {
            void this.relayProbe(sender, kind.value.nonce, branded<Address>(kind.value.target));
        }
    }

    /** Gives up all questions that are open, for a process that was paused meanwhile. */
    public cancelPending(): void {
        for (const [nonce, { timer, reply }] of this.pending) {
            timer.cancel();
            this.pending.delete(nonce);
            reply.resolve(undefined);
        }
    }

    private registerProbe(
        timeoutMs: number,
    ): { readonly nonce: number; readonly reply: Promise<ProbeReply | undefined>; } {
        const { clock, random } = this.options.runtime;
        const nonce = random.nextInt(1, MAX_NONCE);
        const reply = createDeferred<ProbeReply | undefined>();
        const timer = clock.setTimer(timeoutMs, () => {
            this.pending.delete(nonce);
            reply.resolve(undefined);
        });
        this.pending.set(nonce, { sentAtMs: clock.nowMs(), reply, timer });
        return { nonce, reply: reply.promise };
    }

    private resolveProbe(nonce: number, { sender, digest }: ReceivedGossip): void {
        const probe = this.pending.get(nonce);
        if (!probe) {
            return;
        }
        probe.timer.cancel();
        this.pending.delete(nonce);
        this.options.freshness.recordPeerAnswer(sender.name, probe.sentAtMs, digest);
        probe.reply.resolve({ sender, digest });
    }

    private sendAnswer(target: GossipTarget, nonce: number): void {
        const kind: GossipKind = { case: "answer", value: { nonce } };
        this.options.socket.send(target, kind);
    }

    private async relayProbe(origin: GossipTarget, nonce: number, target: Address): Promise<void> {
        if (this.indirectCount >= MAX_INDIRECT_PROBES) {
            return;
        }
        this.indirectCount++;
        const reply = await this.probe({ address: target }, INDIRECT_TIMEOUT_MS);
        this.indirectCount--;
        if (reply) {
            this.sendAnswer(origin, nonce);
        }
    }
}
