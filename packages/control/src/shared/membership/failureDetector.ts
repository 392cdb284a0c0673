/**
 * Failure detector: probes the members of the own data centre in turn, and periodically contacts in other
 * data centres.
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
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Membership of the fleet. */
    readonly membership: Membership;
    /** Socket on which datagrams arrive. */
    readonly socket: GossipSocket;
    /** Sends probes. */
    readonly prober: Prober;
    /** Addresses of seed processes from the settings. */
    readonly seeds: readonly Address[];
    /** Checks whether this process was paused. */
    readonly checkPause: () => void;
    /** Send time of the last request that the platform answered, on the monotonic clock in milliseconds. */
    readonly platformAnsweredAtMs: () => number;
    /** Stops the task. */
    readonly signal: AbortSignal;
}

/** Mean delay before each probe round, in milliseconds; jitter of 10 % is applied. */
const PROBE_INTERVAL_MS = 1_000;
/** Timeout of a direct probe, in milliseconds. */
const DIRECT_TIMEOUT_MS = 300;
/** Timeout of an indirect probe, in milliseconds. */
const INDIRECT_TIMEOUT_MS = 600;
/** Number of members that are asked to probe a silent member. */
const INDIRECT_PROBE_RELAYS = 3;
/** Number of rounds between probes of dead members, which may have come back. */
const DEAD_PROBE_ROUNDS = 4;
/** Number of rounds between probes of a contact in another data centre. */
const REMOTE_PROBE_ROUNDS = 2;
/**
 * Number of rounds between probes of a seed. They reconnect two parts of the fleet that have each deleted the
 * other's members.
 */
const SEED_PROBE_ROUNDS = 16;

/**
 * Detects failed members by a direct probe, then indirect ones; a member that answers neither is suspected.
 */
export class FailureDetector {
    private round = 0;
    private probeQueue: MemberReport[] = [];
    /** Number of pauses of this process. The outcome of a probe that spans a pause is no evidence. */
    private pauseCount = 0;

    /** @param options - runtime, membership and prober */
    public constructor(private readonly options: FailureDetectorOptions) {}

    /** Runs probe rounds until the signal aborts. */
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

    /** Cancels pending probes and restarts suspicions after a pause of this process. */
    public handlePause(): void {
        this.pauseCount++;
        this.options.prober.cancelPending();
        this.options.membership.restartSuspicions();
    }

    /** Tells whether nothing was received for a time, in which case this process itself may be isolated. */
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
