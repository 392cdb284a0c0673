/**
 * One member of a group: handles the calls of a map switch and sends orders to the engine of its rank.
 *
 * @packageDocumentation
 */

import { type EventLog, isFaultSeeded } from "@magnolialock/kernel";
import type { MapActivation } from "../../types/mapActivation.ts";
import type { RankEngine, RankEngineStatus } from "../../types/rankEngine.ts";
import { engineRestarted, mapAborted, mapArmed, mapCommitted, mapInstalled } from "../mapsEvents.ts";
import { activationAt, mergeDecided } from "./decidedMaps.ts";
import type { MemberCalls, MemberReply, RefusalReason, Settlement } from "./memberReply.ts";
import { SerialExecutor } from "./serialExecutor.ts";

/** Options of a {@link MapMember}. */
export interface MapMemberOptions {
    /** Rank of the member. */
    readonly rank: number;
    /** Incarnation of the agent; a restart begins a new one. */
    readonly incarnation: string;
    /** Engine of the rank. */
    readonly engine: RankEngine;
    /** Event log of the process. */
    readonly events: EventLog;
}

/** In-memory state of a member, without a read of its engine. */
export interface CachedMemberState {
    /** Highest epoch that the member has promised. */
    readonly promisedEpoch: number;
    /** Epoch of the last aborted change. */
    readonly abortedEpoch: number;
    /** Epoch of the last settlement. */
    readonly settledEpoch: number;
    /** Decided activations, the oldest first. */
    readonly decided: readonly MapActivation[];
    /** Armed activation whose decision the member does not know yet. */
    readonly armed: MapActivation | undefined;
}

/**
 * Participant in the map switch. Its state is kept in memory only; after a restart it is recovered from the
 * engine and the other members. All calls run one at a time, and every answer is based on the engine's own
 * state, read in the same call.
 */
export class MapMember implements MemberCalls {
    /** {@inheritDoc MemberCalls.rank} */
    public readonly rank: number;
    private readonly incarnation: string;
    private readonly engine: RankEngine;
    private readonly events: EventLog;
    private readonly executor = new SerialExecutor();
    private promisedEpoch = 0;
    private abortedEpoch = 0;
    private settledEpoch = 0;
    private decided: MapActivation[] = [];
    private armed: MapActivation | undefined;
    private engineIncarnation = "";

    /** @param options - rank, engine and event log */
    public constructor(options: MapMemberOptions) {
        this.rank = options.rank;
        this.incarnation = options.incarnation;
        this.engine = options.engine;
        this.events = options.events;
    }

    /** In-memory state; it may lag behind the engine. */
    public get cachedState(): CachedMemberState {
        const { promisedEpoch, abortedEpoch, settledEpoch, decided, armed } = this;
        return { promisedEpoch, abortedEpoch, settledEpoch, decided, armed };
    }

    /** {@inheritDoc MemberCalls.report} */
    public report(): Promise<MemberReply> {
        return this.executor.run(() => this.reply());
    }

    /** {@inheritDoc MemberCalls.prepare} */
    public prepare(epoch: number): Promise<MemberReply> {
        return this.executor.run(async () => {
            if (epoch <= this.promisedEpoch && !isFaultSeeded("maps.accept-lower-epoch")) {
                return this.reply("lower-epoch");
            }
            this.promisedEpoch = epoch;
            return this.reply();
        });
    }

    /** {@inheritDoc MemberCalls.settle} */
    public settle(settlement: Settlement): Promise<MemberReply> {
        return this.executor.run(async () => {
            const status = await this.readEngine();
            if (settlement.epoch !== this.promisedEpoch) {
                return this.reply("lower-epoch");
            }
            const isSameIncarnation = settlement.incarnation === this.incarnation
                && settlement.engineIncarnation === status.incarnation;
            if (!isSameIncarnation) {
                return this.reply("restarted");
            }
            this.decided = mergeDecided([this.decided, settlement.decided]);
            await this.alignEngine(status, settlement);
            this.settledEpoch = settlement.epoch;
            return this.reply();
        });
    }

    /** {@inheritDoc MemberCalls.arm} */
    public arm(activation: MapActivation): Promise<MemberReply> {
        return this.executor.run(async () => {
            const { epoch, fromStep } = activation;
            const isCurrent = epoch === this.promisedEpoch && epoch === this.settledEpoch;
            if (!isCurrent || this.abortedEpoch === epoch) {
                return this.reply("lower-epoch");
            }
            const before = await this.readEngine();
            if (!before.inForce) {
                return this.reply("restarted");
            }
            if (before.armed?.isReleased) {
                return this.reply("pending");
            }
            if (before.step >= fromStep) {
                return this.reply("too-late");
            }
            await this.engine.arm(activation, epoch);
            return this.confirmArmed(activation);
        });
    }

    /** {@inheritDoc MemberCalls.commit} */
    public commit(epoch: number): Promise<MemberReply> {
        return this.executor.run(async () => {
            if (epoch !== this.promisedEpoch && !isFaultSeeded("maps.accept-lower-epoch")) {
                return this.reply("lower-epoch");
            }
            if (this.armed?.epoch !== epoch) {
                const isKnown = this.decided.some(activation => activation.epoch === epoch);
                return this.reply(isKnown ? undefined : "not-armed");
            }
            await this.recordDecision(this.armed);
            return this.reply();
        });
    }

    /** {@inheritDoc MemberCalls.abort} */
    public abort(epoch: number): Promise<MemberReply> {
        return this.executor.run(async () => {
            if (epoch !== this.promisedEpoch) {
                return this.reply("lower-epoch");
            }
            this.abortedEpoch = epoch;
            if (this.armed?.epoch === epoch) {
                await this.disarm(epoch);
            }
            return this.reply();
        });
    }

    /**
     * Decides the activation that this member has coordinated. The decision is a single local operation. It
     * is taken only while the epoch is the highest that this member has promised, so that a round of a higher
     * epoch that this member has promised can rely on its report.
     *
     * @param epoch - epoch of the round
     * @returns whether the activation is decided
     */
    public async decide(epoch: number): Promise<boolean> {
        return (await this.commit(epoch)).refusal === undefined;
    }

    /**
     * Adopts a decision that another member reported.
     *
     * @param decided - decided activations of the other member
     * @returns whether the armed activation was among them and is now decided here, too
     */
    public adopt(decided: readonly MapActivation[]): Promise<boolean> {
        return this.executor.run(async () => {
            const { armed } = this;
            // After the promise of a higher epoch, only the round of that epoch may settle the outcome.
            const isOpen = armed !== undefined && armed.epoch === this.promisedEpoch;
            if (!isOpen || !decided.some(({ epoch }) => epoch === armed.epoch)) {
                return false;
            }
            await this.recordDecision(armed);
            return true;
        });
    }

    /**
     * Continues with the map in force although the change is undecided; called only for a seeded fault in a
     * test build.
     */
    public discardArmed(): Promise<void> {
        return this.executor.run(() => this.disarm(this.promisedEpoch));
    }

    private async recordDecision(activation: MapActivation): Promise<void> {
        this.armed = undefined;
        this.decided = mergeDecided([this.decided, [activation]]);
        this.events.emit(mapCommitted, {
            rank: this.rank,
            epoch: activation.epoch,
            fromStep: activation.fromStep,
            map: activation.map.id,
        });
        const status = await this.readEngine();
        if (status.armed?.epoch === activation.epoch || isFaultSeeded("maps.skip-engine-reread")) {
            await this.engine.release(activation.epoch);
        }
    }

    private async confirmArmed(activation: MapActivation): Promise<MemberReply> {
        const { epoch } = activation;
        const after = await this.readEngine();
        const isArmed = after.armed?.epoch === epoch && after.armed.map.id === activation.map.id;
        if (!isArmed) {
            return this.reply("engine");
        }
        this.armed = activation;
        this.events.emit(mapArmed, {
            rank: this.rank,
            epoch,
            fromStep: activation.fromStep,
            map: activation.map.id,
        });
        return this.reply();
    }

    private async alignEngine(status: RankEngineStatus, { step, epoch }: Settlement): Promise<void> {
        if (!status.inForce) {
            await this.installEngine(step, epoch);
            return;
        }
        const { armed } = status;
        const isDecided = this.decided.some(activation => activation.epoch === armed?.epoch);
        if (armed && isDecided) {
            this.armed = undefined;
            await this.engine.release(epoch);
        }
        else if (armed ?? this.armed) {
            await this.disarm(epoch);
        }
    }

    private async installEngine(step: number, fence: number): Promise<void> {
        const current = activationAt(this.decided, step);
        const next = this.decided.at(-1);
        this.armed = undefined;
        if (!current) {
            return;
        }
        if (next && next !== current) {
            await this.engine.arm(next, fence);
            await this.engine.release(fence);
        }
        await this.engine.install(current, step, fence);
        this.events.emit(mapInstalled, { rank: this.rank, step, map: current.map.id });
    }

    private async disarm(fence: number): Promise<void> {
        this.events.emit(mapAborted, { rank: this.rank, epoch: this.armed?.epoch, fence });
        this.armed = undefined;
        await this.engine.disarm(fence);
    }

    /**
     * Reads the engine's state. A map that it runs or may start was decided, even if this member has no
     * record of the decision.
     */
    private async readEngine(): Promise<RankEngineStatus> {
        const status = await this.engine.status();
        if (status.incarnation !== this.engineIncarnation) {
            if (this.engineIncarnation !== "") {
                this.events.emit(engineRestarted, { rank: this.rank, engine: status.incarnation });
            }
            this.engineIncarnation = status.incarnation;
        }
        // A restarted agent is still bound by the epochs of the orders that its engine has accepted.
        this.promisedEpoch = Math.max(
            this.promisedEpoch,
            status.inForce?.epoch ?? 0,
            status.armed?.epoch ?? 0,
        );
        const impliedDecisions = [status.inForce, status.armed?.isReleased ? status.armed : undefined];
        this.decided = mergeDecided([
            this.decided,
            impliedDecisions.filter(activation => activation !== undefined),
        ]);
        return status;
    }

    private async reply(refusal?: RefusalReason): Promise<MemberReply> {
        const status = await this.readEngine();
        return {
            refusal,
            rank: this.rank,
            incarnation: this.incarnation,
            engineIncarnation: status.incarnation,
            promisedEpoch: this.promisedEpoch,
            decided: this.decided,
            armed: this.armed,
            step: status.step,
            isSettled: status.inForce !== undefined,
        };
    }
}
