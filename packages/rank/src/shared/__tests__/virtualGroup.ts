/** A group of ranks on the virtual clock, with agents that lose orders, crash, restart and are suspended. */

import {
    branded,
    createRandomSource,
    EventLog,
    type IncarnationId,
    type RandomSource,
    sleep,
    timeoutSignal,
} from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import type {
    ExpertCounts,
    FencingToken,
    HeldExperts,
    OrderResult,
    PassNumber,
    RankOrder,
    RankServer,
} from "../../types/rankServer.ts";
import { GroupLeader } from "../groupLeader.ts";
import { PassHolder } from "../passHolder.ts";
import { RankMember } from "../rankMember.ts";
import type { HoldOrder, RankPeer } from "../switchRound.ts";
import { SPEC, VirtualRank } from "./virtualRank.ts";

const PASS_MS = 60;
const ORDER_TIMEOUT_MS = 60;
const SUSPENSION_MS = 4_000;
const NEVER = new Promise<never>(() => {});

/** Rates of injected faults. */
export interface GroupFaults {
    /** Share of orders that get no answer; half of them are carried out late, the others at once. */
    readonly lostOrders?: number;
    /** Mean time between crashes of an agent, in milliseconds; undefined for none. */
    readonly killEveryMs?: number;
    /** Mean time between suspensions of an agent, in milliseconds; undefined for none. */
    readonly suspendEveryMs?: number;
    /** Share of calls between agents that arrive seconds late. */
    readonly slowCalls?: number;
    /**
     * Mean time between idle periods, in which the group starts no pass, in milliseconds; undefined for none.
     */
    readonly idleEveryMs?: number;
    /** Mean time between restarts that make the group re-form, in milliseconds; undefined for none. */
    readonly reformEveryMs?: number;
    /** Whether the leader's agent is suspended right after its order to hold a pass was carried out. */
    readonly suspendLeaders?: boolean;
    /** Whether an agent other than the leader's and the holder's is suspended then. */
    readonly suspendOthers?: boolean;
}

/** One incarnation of an agent. */
class AgentIncarnation {
    public readonly member: RankMember;
    public readonly holder: PassHolder;
    public readonly leader: GroupLeader;
    public isDead = false;
    public suspendedUntilMs = 0;

    public constructor(
        private readonly group: VirtualGroup,
        private readonly rank: VirtualRank,
        incarnationNumber: number,
    ) {
        const { clock, events } = group;
        const incarnation = branded<IncarnationId>(`${rank.rank}-${incarnationNumber}`);
        this.member = new RankMember({
            clock,
            events,
            server: this.server(),
            serverId: () => undefined,
            incarnation,
        });
        this.holder = new PassHolder({
            clock,
            events,
            member: this.member,
            peersOf: async () => this.peers(),
        });
        this.leader = new GroupLeader({
            clock,
            events,
            member: this.member,
            holder: this.holder,
            peersOf: async () => this.peers(),
            spec: () => SPEC,
            yieldToEventLoop: () => sleep(clock, 1),
        });
        this.leader.start();
    }

    /** Waits while the process is suspended; never resolves once it has crashed. */
    public async waitUntilRunning(): Promise<void> {
        while (this.group.clock.nowMs() < this.suspendedUntilMs) {
            await sleep(this.group.clock, this.suspendedUntilMs - this.group.clock.nowMs());
        }
        if (this.isDead) {
            await NEVER;
        }
    }

    private server(): RankServer {
        const read = async <T>(value: () => T): Promise<T> => {
            await this.waitUntilRunning();
            await sleep(this.group.clock, 2);
            await this.waitUntilRunning();
            return value();
        };
        return {
            report: () => read(() => this.rank.report()),
            counts: () =>
                read((): ExpertCounts => ({
                    epoch: this.group.epoch,
                    counts: [...this.rank.selectionCounts],
                })),
            heldExperts: () =>
                read((): HeldExperts => ({
                    epoch: this.group.epoch,
                    mapVersion: this.rank.inForce.version,
                    experts: this.rank.inForce.experts,
                })),
            order: (order, epoch, token, signal) => this.order(this.rank, order, epoch, token, signal),
        };
    }

    private async order(
        target: VirtualRank,
        order: RankOrder,
        epoch: number,
        token: FencingToken,
        signal: AbortSignal,
    ): Promise<OrderResult> {
        await this.waitUntilRunning();
        const { clock, faults, random } = this.group;
        if (random.nextFloat() < (faults.lostOrders ?? 0)) {
            const isLate = random.nextFloat() < 0.5;
            clock.setTimer(isLate ? random.nextInt(2_000, 12_000) : 3, () => {
                target.execute(order, epoch, token);
            });
            return await new Promise(resolve =>
                signal.addEventListener("abort", () => resolve("unanswered"))
            );
        }
        // An order that was sent is carried out even if its agent crashes meanwhile.
        const result = await new Promise<OrderResult>(resolve => {
            clock.setTimer(random.nextInt(1, 5), () => {
                resolve(target.execute(order, epoch, token));
                this.group.recordOrder(order, this.rank.rank);
            });
        });
        await this.waitUntilRunning();
        return result;
    }

    /**
     * The server of a suspended agent is suspended, too: it carries out orders from other machines when it
     * resumes.
     */
    private async hold(rank: number, { epoch, pass, token }: HoldOrder): Promise<OrderResult> {
        const { clock } = this.group;
        await this.waitUntilRunning();
        const { suspendedUntilMs } = this.group.agentOf(rank);
        const target = this.group.ranks[rank] as VirtualRank;
        if (clock.nowMs() < suspendedUntilMs) {
            clock.setTimer(suspendedUntilMs - clock.nowMs(), () => {
                target.execute({ kind: "hold", pass }, epoch, token);
            });
            await sleep(clock, ORDER_TIMEOUT_MS);
            return "unanswered";
        }
        using timeout = timeoutSignal(clock, ORDER_TIMEOUT_MS);
        return await this.order(target, { kind: "hold", pass }, epoch, token, timeout.signal);
    }

    private peers(): RankPeer[] {
        return this.group.ranks.flatMap(({ rank }) => rank === this.rank.rank ? [] : [this.peer(rank)]);
    }

    private peer(rank: number): RankPeer {
        const { clock, random } = this.group;
        const call = async <T>(limitMs: number, run: (agent: AgentIncarnation) => Promise<T>): Promise<T> => {
            await this.waitUntilRunning();
            // The call reaches the incarnation that runs when it is sent; its connection ends with that
            // process.
            const agent = this.group.agentOf(rank);
            const answer = (async () => {
                const isSlow = random.nextFloat() < (this.group.faults.slowCalls ?? 0);
                await sleep(clock, isSlow ? random.nextInt(400, 3_000) : random.nextInt(1, 6));
                await agent.waitUntilRunning();
                const result = await run(agent);
                await agent.waitUntilRunning();
                return result;
            })();
            answer.catch(() => {});
            const timeout = sleep(clock, limitMs).then(() => {
                throw new Error("timed out");
            });
            timeout.catch(() => {});
            const result = await Promise.race([answer, timeout]);
            await this.waitUntilRunning();
            return result;
        };
        return {
            rank,
            status: () =>
                call(500, agent => {
                    agent.leader.noteStatusRequest(this.rank.rank, rank);
                    return agent.member.status(this.rank.rank);
                }),
            report: () => call(500, agent => agent.member.readReport()),
            sendCall: message =>
                call(800, async agent => {
                    const reply = await agent.member.handleCall(message);
                    if (reply.kind === "done") {
                        agent.leader.noteRoundCall(message);
                    }
                    return reply;
                }),
            sendHoldCall: message => call(1_500, agent => agent.holder.handleCall(message)),
            hold: order => this.hold(rank, order),
        };
    }
}

/** A group of ranks with their agents. */
export class VirtualGroup {
    public readonly clock = new VirtualClock();
    public readonly events: EventLog;
    public readonly random: RandomSource;
    public readonly ranks: VirtualRank[];
    public epoch = 1;
    public pass = branded<PassNumber>(0);
    public faults: GroupFaults;
    /** Passes that started while two ranks had different maps in force. */
    public mixedPasses = 0;
    /** Map switches that took effect. */
    public switches = 0;
    /** Longest time between the starts of two passes, without idle periods, in milliseconds. */
    public longestStallMs = 0;
    private readonly agents: AgentIncarnation[] = [];
    private incarnationCount = 0;
    private lastPassMs = 0;
    private isEnded = false;
    private hotExpert = 0;
    private idleUntilMs = 0;

    public constructor(public readonly size: number, seed: number, faults: GroupFaults = {}) {
        this.random = createRandomSource(seed);
        this.faults = faults;
        this.events = new EventLog({ clock: this.clock, instance: "group" });
        this.ranks = Array.from({ length: size }, (_, rank) => new VirtualRank(this, rank));
        this.ranks.forEach((_, rank) => this.startAgent(rank));
        void this.runPasses();
        void this.shiftDemand();
        void this.repeatFault(
            () => this.faults.killEveryMs,
            () => this.kill(this.random.nextInt(0, size - 1)),
        );
        void this.repeatFault(
            () => this.faults.suspendEveryMs,
            () => this.suspend(this.random.nextInt(0, size - 1)),
        );
        void this.repeatFault(() => this.faults.reformEveryMs, () => this.reform());
        void this.repeatFault(() => this.faults.idleEveryMs, () => this.idle());
    }

    public agentOf(rank: number): AgentIncarnation {
        return this.agents[rank] as AgentIncarnation;
    }

    public kill(rank: number): void {
        if (this.agentOf(rank).isDead) {
            return;
        }
        this.agentOf(rank).isDead = true;
        this.clock.setTimer(this.random.nextInt(200, 1_500), () => this.startAgent(rank));
    }

    public suspend(rank: number): void {
        this.agentOf(rank).suspendedUntilMs = this.clock.nowMs() + this.random.nextInt(500, 4_000);
    }

    public recordOrder(order: RankOrder, issuerRank: number): void {
        if (order.kind !== "hold") {
            return;
        }
        const untilMs = this.clock.nowMs() + SUSPENSION_MS;
        if (this.faults.suspendLeaders) {
            this.agentOf(issuerRank).suspendedUntilMs = untilMs;
        }
        if (this.faults.suspendOthers) {
            this.agentOf((issuerRank + 2) % this.size).suspendedUntilMs = untilMs;
        }
    }

    public reform(): void {
        this.epoch++;
        this.ranks.forEach(rank => rank.reset());
    }

    public idle(): void {
        this.idleUntilMs = this.clock.nowMs() + this.random.nextInt(1_000, 8_000);
    }

    public end(): void {
        this.isEnded = true;
    }

    private startAgent(rank: number): void {
        this.agents[rank] = new AgentIncarnation(
            this,
            this.ranks[rank] as VirtualRank,
            this.incarnationCount++,
        );
    }

    private async runPasses(): Promise<void> {
        while (!this.isEnded) {
            await sleep(this.clock, PASS_MS);
            if (this.clock.nowMs() < this.idleUntilMs) {
                this.lastPassMs = this.clock.nowMs();
                continue;
            }
            const next = this.pass + 1 as PassNumber;
            if (this.ranks.some(({ heldPass }) => heldPass === next)) {
                continue;
            }
            this.longestStallMs = Math.max(this.longestStallMs, this.clock.nowMs() - this.lastPassMs);
            this.lastPassMs = this.clock.nowMs();
            this.pass = next;
            const before = this.ranks[0]?.inForce.version;
            this.ranks.forEach(rank => rank.startPass(next));
            this.switches += this.ranks[0]?.inForce.version === before ? 0 : 1;
            const contents = new Set(this.ranks.map(({ inForce }) => `${inForce.version} ${inForce.hash}`));
            this.mixedPasses += contents.size > 1 ? 1 : 0;
            for (const { selectionCounts } of this.ranks) {
                for (let set = 0; set < SPEC.sets; set++) {
                    const hot = set * SPEC.experts + this.hotExpert;
                    selectionCounts[hot] = (selectionCounts[hot] ?? 0) + 300;
                }
                selectionCounts.forEach((count, index) => selectionCounts[index] = count + 10);
            }
        }
    }

    private async shiftDemand(): Promise<void> {
        while (!this.isEnded) {
            await sleep(this.clock, 1_500);
            this.hotExpert = this.random.nextInt(0, SPEC.experts - 1);
        }
    }

    private async repeatFault(meanMs: () => number | undefined, inject: () => void): Promise<void> {
        while (!this.isEnded) {
            await sleep(this.clock, (meanMs() ?? 1_000) * (0.5 + this.random.nextFloat()));
            if (meanMs() !== undefined) {
                inject();
            }
        }
    }
}
