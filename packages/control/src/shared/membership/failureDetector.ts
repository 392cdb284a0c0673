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
import { randomSample } from "./randomSample.ts";

/** Options of {@link FailureDetector}. */
export interface FailureDetectorOptions {
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
    readonly platformAnsweredAtMs: () => number;
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
const INDIRECT_PROBE_RELAYS = 3;
/** Every how many rounds a removed member is probed, in case that it came back. */
const DEAD_PROBE_ROUNDS = 4;
/** Every how many rounds a contact in another data centre is probed. */
const REMOTE_PROBE_ROUNDS = 2;
/** Every how many rounds an address from the settings is probed, in case that both sides forgot each other. */
const SEED_PROBE_ROUNDS = 16;

/** Failure detection: direct probes, then indirect ones, then suspicion. */
export class FailureDetector {
    private round = 0;
    private probeQueue: MemberReport[] = [];
    /** Rises with each pause of the own process; probes that span one prove nothing. */
    private pauseCount = 0;

    /** @param options - surroundings, membership and prober */
    public constructor(private readonly options: FailureDetectorOptions) {}

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
    public handlePause(): void {
        this.pauseCount++;
        this.options.prober.cancelPending();
        this.options.membership.restartSuspicions();
    }

    /** Tells whether nobody was heard for a time: then the process itself may be cut off. */
    private isIsolated(silenceMs: number): boolean {
        const { runtime, socket, platformAnsweredAtMs } = this.options;
        const lastContactMs = Math.max(socket.lastReceivedAtMs, platformAnsweredAtMs());
        return runtime.clock.nowMs() - lastContactMs > silenceMs;
    }

    private nextLocalTarget(): MemberReport | undefined {
        const { membership, runtime } = this.options;
        const dead = membership.deadPeers();
        if (dead.length > 0 && this.round % DEAD_PROBE_ROUNDS === 0) {
            return dead[runtime.random.nextInt(0, dead.length - 1)];
        }
        if (this.probeQueue.length === 0) {
            this.probeQueue = shuffled(runtime.random, membership.reachablePeers());
        }
        return this.probeQueue.pop();
    }

    private async probeLocal(): Promise<void> {
        const { membership, prober, checkPause, runtime } = this.options;
        const target = this.nextLocalTarget();
        if (!target) {
            return;
        }
        const { pauseCount } = this;
        const startMs = runtime.clock.nowMs();
        if (await prober.probe(target, DIRECT_TIMEOUT_MS)) {
            return;
        }
        const others = membership.reachablePeers().filter(({ name }) => name !== target.name);
        const relays = randomSample(runtime.random, others, INDIRECT_PROBE_RELAYS);
        if (relays.length > 0 && await prober.probeIndirectly(target, relays, INDIRECT_TIMEOUT_MS)) {
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
            await prober.probe({ address: seed }, DIRECT_TIMEOUT_MS);
        }
        const others = membership.otherDataCentreNames();
        if (others.length === 0 || this.round % REMOTE_PROBE_ROUNDS !== 0) {
            return;
        }
        const dataCentre = others[runtime.random.nextInt(0, others.length - 1)];
        const contact = dataCentre && membership.sampleContacts(dataCentre)[0];
        if (contact) {
            await prober.probe(contact, DIRECT_TIMEOUT_MS);
        }
    }
}
