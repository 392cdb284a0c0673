/**
 * Task that probes one member of the own data centre after the other, and now and then contacts in others.
 *
 * @packageDocumentation
 */

import { type Address, type Runtime, shuffled, sleep } from "@magnolialock/kernel";
import type { MemberReport } from "../../types/member.ts";
import type { GossipSocket } from "../plane/gossipSocket.ts";
import type { Prober } from "../plane/prober.ts";
import type { Membership } from "./membership.ts";
import { sampled } from "./sampled.ts";

/** Options of {@link MemberProbing}. */
export interface MemberProbingOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Who is in the fleet. */
    readonly membership: Membership;
    /** Where datagrams arrive. */
    readonly socket: GossipSocket;
    /** Asks processes. */
    readonly prober: Prober;
    /** Addresses of processes from the settings. */
    readonly seeds: readonly Address[];
    /** Looks for a pause of the own process. */
    readonly checkPause: () => void;
    /** When the platform last answered, on the monotonic clock in milliseconds. */
    readonly platformAnsweredMs: () => number;
    /** Ends the task. */
    readonly signal: AbortSignal;
}

/** Time between two probes, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000;
/** Longest wait for a direct answer, in milliseconds. */
const DIRECT_TIMEOUT_MS = 300;
/** Longest wait for an answer through others, in milliseconds. */
const INDIRECT_TIMEOUT_MS = 600;
/** Members that are asked to probe a silent one. */
const INDIRECT_HELPERS = 3;
/** Every how many rounds a removed member is probed, in case that it came back. */
const DEAD_PROBE_ROUNDS = 4;
/** Every how many rounds a contact in another data centre is probed. */
const REMOTE_PROBE_ROUNDS = 2;
/** Every how many rounds an address from the settings is probed, in case that both sides forgot each other. */
const SEED_PROBE_ROUNDS = 16;

/** Failure detection: direct probes, then indirect ones, then suspicion. */
export class MemberProbing {
    private round = 0;
    private queue: MemberReport[] = [];
    /** Rises with each pause of the own process; probes that span one prove nothing. */
    private pauseCount = 0;

    /** @param options - surroundings, membership and prober */
    public constructor(private readonly options: MemberProbingOptions) {}

    /** Probes until the signal aborts. */
    public async run(): Promise<void> {
        const { runtime, signal, membership, checkPause } = this.options;
        while (!signal.aborted) {
            const delayMs = PROBE_INTERVAL_MS * (0.9 + 0.2 * runtime.random.nextFloat());
            await sleep(runtime.clock, delayMs, signal).catch(() => {});
            if (signal.aborted) {
                return;
            }
            checkPause();
            this.round++;
            if (this.isIsolated(PROBE_INTERVAL_MS * 2)) {
                membership.restartSuspicions();
            }
            membership.expire();
            void this.probeRemote();
            await this.probeLocal();
        }
    }

    /** Forgets half-done probes after a pause of the own process. */
    public afterPause(): void {
        this.pauseCount++;
        this.options.prober.giveUp();
        this.options.membership.restartSuspicions();
    }

    /** Tells whether nobody was heard for a time: then the process itself may be cut off. */
    private isIsolated(silenceMs: number): boolean {
        const { runtime, socket, platformAnsweredMs } = this.options;
        const heardMs = Math.max(socket.lastHeardMs, platformAnsweredMs());
        return runtime.clock.nowMs() - heardMs > silenceMs;
    }

    private nextLocal(): MemberReport | undefined {
        const { membership, runtime } = this.options;
        const dead = membership.deadPeers();
        if (dead.length > 0 && this.round % DEAD_PROBE_ROUNDS === 0) {
            return dead[runtime.random.nextInt(0, dead.length - 1)];
        }
        if (this.queue.length === 0) {
            this.queue = shuffled(runtime.random, membership.reachablePeers());
        }
        return this.queue.pop();
    }

    private async probeLocal(): Promise<void> {
        const { membership, prober, checkPause, runtime } = this.options;
        const target = this.nextLocal();
        if (!target) {
            return;
        }
        const { pauseCount } = this;
        const startMs = runtime.clock.nowMs();
        if (await prober.ask(target, DIRECT_TIMEOUT_MS)) {
            return;
        }
        const others = membership.reachablePeers().filter(({ name }) => name !== target.name);
        const helpers = sampled(runtime.random, others, INDIRECT_HELPERS);
        if (helpers.length > 0 && await prober.askThrough(target, helpers, INDIRECT_TIMEOUT_MS)) {
            return;
        }
        checkPause();
        if (pauseCount === this.pauseCount && !this.isIsolated(runtime.clock.nowMs() - startMs)) {
            membership.suspect(target);
        }
    }

    private async probeRemote(): Promise<void> {
        const { membership, prober, runtime, seeds } = this.options;
        const seed = seeds[runtime.random.nextInt(0, Math.max(0, seeds.length - 1))];
        if (seed && seed !== membership.self.address && this.round % SEED_PROBE_ROUNDS === 0) {
            await prober.ask({ address: seed }, DIRECT_TIMEOUT_MS);
        }
        const others = membership.otherDataCentreNames();
        if (others.length === 0 || this.round % REMOTE_PROBE_ROUNDS !== 0) {
            return;
        }
        const dataCentre = others[runtime.random.nextInt(0, others.length - 1)];
        const contact = dataCentre && membership.contactsIn(dataCentre)[0];
        if (contact) {
            await prober.ask(contact, DIRECT_TIMEOUT_MS);
        }
    }
}
