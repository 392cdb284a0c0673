/**
 * Direct and indirect probes of other processes, and the answers to probes from them.
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

/** Answer to a probe. */
export interface ProbeReply {
    /** Process that answered. */
    readonly sender: MemberReport;
    /** Its configuration digest. */
    readonly digest: Digest;
}

/** Options of {@link Prober}. */
export interface ProberOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Socket that sends the datagrams. */
    readonly socket: GossipSocket;
    /** Receives the evidence in answers. */
    readonly freshness: FreshnessTracker;
}

interface PendingProbe {
    readonly sentAtMs: number;
    readonly reply: Deferred<ProbeReply | undefined>;
    readonly timer: Timer;
}

const MAX_NONCE = 0x7fffffff;
/** Timeout of a probe on behalf of another process, in milliseconds. */
const INDIRECT_TIMEOUT_MS = 500;
/** Maximum number of concurrent probes on behalf of other processes. */
const MAX_INDIRECT_PROBES = 64;

/** Sends probes, matches answers to them, and answers the probes of others. */
export class Prober {
    private readonly pending = new Map<number, PendingProbe>();
    private indirectCount = 0;

    /** @param options - runtime, socket and freshness tracker */
    public constructor(private readonly options: ProberOptions) {}

    /**
     * Probes a process directly.
     *
     * @param target - the process
     * @param timeoutMs - maximum wait, in milliseconds
     * @param wantsMembers - whether to request its member list as well
     * @returns its answer; undefined on timeout
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
     * Probes a process through relays.
     *
     * @param target - the process
     * @param relays - processes that forward the probe
     * @param timeoutMs - maximum wait, in milliseconds
     * @returns the first answer from a relay; undefined on timeout
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
     * Handles a received probe, answer or indirect probe; ignores other datagrams.
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

    /** Cancels all pending probes, because this process was paused while they were open. */
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
