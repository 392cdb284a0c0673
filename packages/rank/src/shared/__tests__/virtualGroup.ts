/**
 * A group of ranks on the virtual clock, with agents that lose orders, die, restart and stand still.
 */

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

/** Chances of faults. */
export interface GroupFaults {
    /** Share of orders that get no answer; half of them are carried out late, the others at once. */
    readonly lostOrders?: number;
    /** Mean time between deaths of an agent, in milliseconds; undefined for none. */
    readonly killEveryMs?: number;
    /** Mean time between suspensions of an agent, in milliseconds; undefined for none. */
    readonly freezeEveryMs?: number;
    /** Share of calls between agents that arrive seconds late. */
    readonly slowCalls?: number;
    /** Mean time between spans without requests, in which the group begins no pass, in milliseconds. */
    readonly idleEveryMs?: number;
    /** Mean time between restarts of a rank, in milliseconds; undefined for none. */
    readonly reformEveryMs?: number;
    /** Whether an agent is suspended right after its order to hold a pass was carried out. */
    readonly suspendGivers?: boolean;
    /** Whether another agent, neither the giver's nor the holder's, is suspended then. */
    readonly suspendOthers?: boolean;
}

/** One life of an agent. */
class AgentLife {
    public readonly member: RankMember;
    public readonly holder: PassHolder;
    public readonly leader: GroupLeader;
    public isDead = false;
    public frozenUntilMs = 0;

    public constructor(
        private readonly group: VirtualGroup,
        private readonly rank: VirtualRank,
        life: number,
    ) {
        const { clock, events } = group;
        const incarnation = branded<IncarnationId>(`${rank.rank}-${life}`);
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
        });
        this.leader.start();
    }

    /** Stands still while the process is suspended, for good when it is dead. */
    public async gate(): Promise<void> {
        while (this.group.clock.nowMs() < this.frozenUntilMs) {
            await sleep(this.group.clock, this.frozenUntilMs - this.group.clock.nowMs());
        }
        if (this.isDead) {
            await NEVER;
        }
    }

    private server(): RankServer {
        const read = async <T>(value: () => T): Promise<T> => {
            await this.gate();
            await sleep(this.group.clock, 2);
            await this.gate();
            return value();
        };
        return {
            report: () => read(() => this.rank.report()),
            counts: () =>
                read((): ExpertCounts => ({ epoch: this.group.epoch, counts: [...this.rank.chosen] })),
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
        await this.gate();
        const { clock, faults, random } = this.group;
        if (random.nextFloat() < (faults.lostOrders ?? 0)) {
            const isLate = random.nextFloat() < 0.5;
            clock.setTimer(isLate ? random.nextInt(2_000, 12_000) : 3, () => {
                target.carryOut(order, epoch, token);
            });
            return await new Promise(resolve =>
                signal.addEventListener("abort", () => resolve("unanswered"))
            );
        }
        // An order that has left is carried out even if its agent dies meanwhile.
        const result = await new Promise<OrderResult>(resolve => {
            clock.setTimer(random.nextInt(1, 5), () => {
                resolve(target.carryOut(order, epoch, token));
                this.group.noteOrder(order, this.rank.rank);
            });
        });
        await this.gate();
        return result;
    }

    /** The server beside a suspended agent takes orders from other machines when the agent wakes. */
    private async hold(rank: number, { epoch, pass, token }: HoldOrder): Promise<OrderResult> {
        const { clock } = this.group;
        await this.gate();
        const { frozenUntilMs } = this.group.agentOf(rank);
        const target = this.group.ranks[rank] as VirtualRank;
        if (clock.nowMs() < frozenUntilMs) {
            clock.setTimer(frozenUntilMs - clock.nowMs(), () => {
                target.carryOut({ kind: "hold", pass }, epoch, token);
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
        const call = async <T>(limitMs: number, run: (life: AgentLife) => Promise<T>): Promise<T> => {
            await this.gate();
            // The call goes to the life that stands there when it leaves; a connection ends with its process.
            const life = this.group.agentOf(rank);
            const answer = (async () => {
                const isSlow = random.nextFloat() < (this.group.faults.slowCalls ?? 0);
                await sleep(clock, isSlow ? random.nextInt(400, 3_000) : random.nextInt(1, 6));
                await life.gate();
                const result = await run(life);
                await life.gate();
                return result;
            })();
            answer.catch(() => {});
            const timeout = sleep(clock, limitMs).then(() => {
                throw new Error("timed out");
            });
            timeout.catch(() => {});
            const result = await Promise.race([answer, timeout]);
            await this.gate();
            return result;
        };
        return {
            rank,
            status: () =>
                call(500, life => {
                    life.leader.noteAsked(this.rank.rank, rank);
                    return life.member.status(this.rank.rank);
                }),
            report: () => call(500, life => life.member.readReport()),
            send: message => call(800, life => life.member.take(message)),
            sendHold: message => call(1_500, life => life.holder.take(message)),
            hold: order => this.hold(rank, order),
        };
    }
}

/** The group with its agents. */
export class VirtualGroup {
    public readonly clock = new VirtualClock();
    public readonly events: EventLog;
    public readonly random: RandomSource;
    public readonly ranks: VirtualRank[];
    public epoch = 1;
    public pass = branded<PassNumber>(0);
    public faults: GroupFaults;
    /** Passes that began while two ranks had different maps. */
    public mixedPasses = 0;
    /** Changes of map that took effect. */
    public switches = 0;
    /** Longest time between two passes, in milliseconds. */
    public longestStopMs = 0;
    private readonly agents: AgentLife[] = [];
    private lives = 0;
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
            () => this.faults.freezeEveryMs,
            () => this.freeze(this.random.nextInt(0, size - 1)),
        );
        void this.repeatFault(() => this.faults.reformEveryMs, () => this.reform());
        void this.repeatFault(() => this.faults.idleEveryMs, () => this.idle());
    }

    public agentOf(rank: number): AgentLife {
        return this.agents[rank] as AgentLife;
    }

    public kill(rank: number): void {
        if (this.agentOf(rank).isDead) {
            return;
        }
        this.agentOf(rank).isDead = true;
        this.clock.setTimer(this.random.nextInt(200, 1_500), () => this.startAgent(rank));
    }

    public freeze(rank: number): void {
        this.agentOf(rank).frozenUntilMs = this.clock.nowMs() + this.random.nextInt(500, 4_000);
    }

    public noteOrder(order: RankOrder, giver: number): void {
        if (order.kind !== "hold") {
            return;
        }
        const untilMs = this.clock.nowMs() + SUSPENSION_MS;
        if (this.faults.suspendGivers) {
            this.agentOf(giver).frozenUntilMs = untilMs;
        }
        if (this.faults.suspendOthers) {
            this.agentOf((giver + 2) % this.size).frozenUntilMs = untilMs;
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
        this.agents[rank] = new AgentLife(this, this.ranks[rank] as VirtualRank, this.lives++);
    }

    private async runPasses(): Promise<void> {
        while (!this.isEnded) {
            await sleep(this.clock, PASS_MS);
            if (this.clock.nowMs() < this.idleUntilMs) {
                this.lastPassMs = this.clock.nowMs();
                continue;
            }
            const next = this.pass + 1 as PassNumber;
            if (this.ranks.some(({ held }) => held === next)) {
                continue;
            }
            this.longestStopMs = Math.max(this.longestStopMs, this.clock.nowMs() - this.lastPassMs);
            this.lastPassMs = this.clock.nowMs();
            this.pass = next;
            const before = this.ranks[0]?.inForce.version;
            this.ranks.forEach(rank => rank.begin(next));
            this.switches += this.ranks[0]?.inForce.version === before ? 0 : 1;
            const contents = new Set(this.ranks.map(({ inForce }) => `${inForce.version} ${inForce.hash}`));
            this.mixedPasses += contents.size > 1 ? 1 : 0;
            for (const { chosen } of this.ranks) {
                for (let set = 0; set < SPEC.sets; set++) {
                    const hot = set * SPEC.experts + this.hotExpert;
                    chosen[hot] = (chosen[hot] ?? 0) + 300;
                }
                chosen.forEach((count, index) => chosen[index] = count + 10);
            }
        }
    }

    private async shiftDemand(): Promise<void> {
        while (!this.isEnded) {
            await sleep(this.clock, 1_500);
            this.hotExpert = this.random.nextInt(0, SPEC.experts - 1);
        }
    }

    private async repeatFault(meanMs: () => number | undefined, strike: () => void): Promise<void> {
        while (!this.isEnded) {
            await sleep(this.clock, (meanMs() ?? 1_000) * (0.5 + this.random.nextFloat()));
            if (meanMs() !== undefined) {
                strike();
            }
        }
    }
}
