/**
 * Sole issuer of orders to one rank; it also creates the tokens with which leaders hold a pass there. Orders
 * run one at a time. After an unanswered order, the fence is raised with a higher token before anything else
 * is reported about the rank, so that the order cannot take effect late.
 *
 * @packageDocumentation
 */

import {
    type BackendServerId,
    type Clock,
    type EventLog,
    type GroupName,
    type IncarnationId,
    isFaultSeeded,
    MagnolialockError,
    timeoutSignal,
} from "@magnolialock/kernel";
import { SerialExecutor } from "@magnolialock/maps/src/shared/switch/serialExecutor.ts";
import type { Ballot, HoldReservation, RankStatus, RoundCall, RoundReply } from "../types/rankMessages.ts";
import type {
    HeldExperts,
    MapVersion,
    OrderResult,
    PassNumber,
    RankOrder,
    RankReport,
    RankServer,
} from "../types/rankServer.ts";
import { compareBallots, hashPlacement, holderForVersion, NO_BALLOT } from "./ballots.ts";
import { FencingTokenSource } from "./fencingTokenSource.ts";
import { orderUnanswered } from "./rankEvents.ts";

/** Options of a {@link RankMember}. */
export interface RankMemberOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** The rank's server. */
    readonly server: RankServer;
    /** Identifier of the server; undefined while it is not known. */
    readonly serverId: () => BackendServerId | undefined;
    /** Incarnation of the agent; a restart begins a new one. */
    readonly incarnation: IncarnationId;
}

/** Raised when the rank's state cannot be determined. */
export const RankStateError = MagnolialockError.subclass("RankStateError");

/**
 * Timeout of an order, in milliseconds: an answer takes a few milliseconds, and the group may be stalled
 * meanwhile.
 */
const ORDER_TIMEOUT_MS = 60;
/** Timeout of a read, in milliseconds; the server answers between two passes at the latest. */
const READ_TIMEOUT_MS = 400;
/** Attempts to raise the fence before the rank's state is reported as unknown. */
const MAX_FENCE_ATTEMPTS = 20;
/**
 * Attempts of one unanswered order: a round needs all ranks to succeed even when half of the orders are lost.
 */
const MAX_ORDER_ATTEMPTS = 8;

interface PreparedMap {
    readonly version: MapVersion;
    readonly contentHash: string;
}

/** Outcome of the release of a held pass. */
export type ReleaseResult =
    /** The pass is no longer held. */
    | "released"
    /** The pass may still be held. */
    | "held"
    /** Another agent now sends this rank's orders; it ends the round, and this agent must not. */
    | "overtaken";

/** Controls one rank: handles the calls of rounds and sends the orders to the rank's server. */
export class RankMember {
    private readonly options: RankMemberOptions;
    private readonly executor = new SerialExecutor();
    private readonly tokens: FencingTokenSource;
    private promised: Ballot = NO_BALLOT;
    private closedBallot: Ballot = NO_BALLOT;
    private prepared: PreparedMap | undefined;
    private armedBallot: Ballot | undefined;
    private heldExperts: HeldExperts | undefined;
    private readonly lastCountsByReader = new Map<number, readonly number[]>();
    private latestReport: { readonly report: RankReport; readonly readMs: number; } | undefined;
    private isFenced = false;
    private wasOvertaken = false;

    /** @param options - clock, event log and server */
    public constructor(options: RankMemberOptions) {
        this.options = options;
        this.tokens = new FencingTokenSource(options.clock);
    }

    /** Highest ballot that the agent has seen. */
    public get promisedBallot(): Ballot {
        return this.promised;
    }

    /**
     * Reads the state of the rank.
     *
     * @param maxAgeMs - age up to which the state of the latest read is returned instead, in milliseconds; 0,
     * the default, always reads
     */
    public readReport(maxAgeMs = 0): Promise<RankReport> {
        return this.executor.run(async () => {
            const { latestReport } = this;
            const isFresh = latestReport && this.options.clock.nowMs() - latestReport.readMs < maxAgeMs;
            return isFresh ? latestReport.report : this.report();
        });
    }

    /**
     * Reads all data that a leader plans with.
     *
     * @param readerRank - rank of the leader, which gets the counts since its previous read
     * @param readerGroup - group of the leader; undefined for the agent itself
     * @throws RankStateError when the rank belongs to another group: the same rank of another group must not
     * take the counts that this group's leader has not read yet
     */
    public status(readerRank: number, readerGroup?: GroupName): Promise<RankStatus> {
        return this.executor.run(async () => {
            const report = await this.report();
            if (readerGroup !== undefined && report.group?.name !== readerGroup) {
                throw new RankStateError("the rank belongs to another group");
            }
            const epoch = report.group?.epoch;
            if (
                !this.heldExperts || this.heldExperts.mapVersion !== report.mapVersion
                || this.heldExperts.epoch !== epoch
            ) {
                this.heldExperts = await this.withTimeout(
                    READ_TIMEOUT_MS,
                    signal => this.options.server.heldExperts(signal),
                );
            }
            const { counts } = await this.withTimeout(
                READ_TIMEOUT_MS,
                signal => this.options.server.counts(signal),
            );
            return {
                server: this.options.serverId(),
                incarnation: this.options.incarnation,
                report,
                experts: this.heldExperts.experts,
                newCounts: this.countsSinceLastRead(readerRank, counts),
                promised: this.promised,
            };
        });
    }

    /**
     * Returns zeros at a rank's first read, and never a negative number: a restarted server counts from zero
     * again.
     */
    private countsSinceLastRead(readerRank: number, counts: readonly number[]): number[] {
        const previous = this.lastCountsByReader.get(readerRank) ?? counts;
        this.lastCountsByReader.set(readerRank, counts);
        return counts.map((count, index) => Math.max(0, count - (previous[index] ?? 0)));
    }

    /**
     * Handles a call of a round.
     *
     * @param call - the call
     */
    public handleCall(call: RoundCall): Promise<RoundReply> {
        return this.executor.run(async () => {
            const isBehind = compareBallots(call.ballot, this.promised) < 0;
            // Disarm calls are always accepted, since a leader must be able to undo what it has done; calls
            // of the same round that arrive later are refused.
            if (call.kind === "disarm") {
                this.closedBallot = compareBallots(call.ballot, this.closedBallot) > 0
                    ? call.ballot
                    : this.closedBallot;
            }
            else if (isBehind || this.isClosed(call.ballot)) {
                return this.refusal("a round with a higher ballot is known, or the round was given up");
            }
            this.promised = isBehind ? this.promised : call.ballot;
            await this.ensureFenced();
            const report = await this.report();
            if (report.group?.epoch !== call.epoch) {
                // Nothing that was armed or held in another epoch of the group remains.
                return call.kind === "disarm"
                    ? { kind: "done" }
                    : this.refusal("the group has another epoch");
            }
            switch (call.kind) {
                case "prepare":
                    return this.handlePrepare(call, report);
                case "arm":
                    return this.handleArm(call, report);
                case "disarm":
                    return this.handleDisarm(call, report, report.group.size);
            }
        });
    }

    /**
     * Creates a token with which the leader of a round may hold a pass here. All tokens created before become
     * invalid.
     *
     * @param ballot - ballot of the round
     * @param epoch - epoch of the group
     * @returns undefined when the rank is armed, the group has another epoch, a round with a higher ballot is
     * known, or the round was abandoned
     */
    public reserve(ballot: Ballot, epoch: number): Promise<HoldReservation | undefined> {
        return this.executor.run(async () => {
            if (compareBallots(ballot, this.promised) < 0 || this.isClosed(ballot)) {
                return undefined;
            }
            this.promised = ballot;
            this.wasOvertaken = false;
            await this.raiseFence();
            this.isFenced = true;
            const { armed, group, heldPass, pass } = await this.report();
            return armed || group?.epoch !== epoch
                ? undefined
                : { heldPass, pass, token: this.tokens.next() };
        });
    }

    /**
     * Releases any pass that is held here. Call it only while no rank can be armed for that pass.
     *
     * @param epoch - epoch of the group
     * @returns whether nothing is held in that epoch any more, and no earlier order can hold a pass later
     */
    public releaseUnarmed(epoch: number): Promise<boolean> {
        return this.executor.run(async () => {
            await this.raiseFence();
            const { group, heldPass } = await this.report();
            if (group?.epoch !== epoch || heldPass === undefined) {
                return true;
            }
            const isReleased = (report: RankReport): boolean => report.heldPass === undefined;
            return this.orderUntilConfirmed({ kind: "release", pass: heldPass }, epoch, isReleased);
        });
    }

    /**
     * Releases a held pass.
     *
     * @param epoch - epoch of the group
     * @param pass - the pass
     */
    public release(epoch: number, pass: PassNumber): Promise<ReleaseResult> {
        return this.executor.run(async () => {
            if (this.wasOvertaken) {
                return "overtaken";
            }
            await this.ensureFenced();
            const isReleased = await this.orderUntilConfirmed(
                { kind: "release", pass },
                epoch,
                report => report.heldPass === undefined,
            );
            return this.wasOvertaken ? "overtaken" : isReleased ? "released" : "held";
        });
    }

    /**
     * Starts a round of this agent: ensures that the fence is above the earlier orders of other agents, so
     * that only their later orders count as having overtaken this agent.
     */
    public beginRound(): Promise<void> {
        return this.executor.run(async () => {
            this.wasOvertaken = false;
            await this.ensureFenced();
        });
    }

    private async handlePrepare(
        call: RoundCall & { readonly kind: "prepare"; },
        report: RankReport,
    ): Promise<RoundReply> {
        if (report.armed) {
            return this.refusal("the rank is armed");
        }
        const { epoch, placement, version } = call;
        this.prepared = undefined;
        const prepareOrder: RankOrder = { kind: "prepare", version, placement };
        for (let attempt = 0; attempt < MAX_ORDER_ATTEMPTS; attempt++) {
            const result = await this.order(prepareOrder, epoch);
            // After an unanswered attempt, a conflict may mean that the attempt was accepted; the rank's
            // report shows whether the copies finish.
            if (result === "accepted" || result === "conflict" && attempt > 0) {
                this.prepared = { version, contentHash: hashPlacement(placement) };
                return { kind: "done" };
            }
            if (result !== "unanswered") {
                return this.refusal(`the preparation was refused: ${result}`);
            }
            await this.raiseFence();
        }
        return this.refusal("the preparation got no answer");
    }

    private async handleArm(
        call: RoundCall & { readonly kind: "arm"; },
        report: RankReport,
    ): Promise<RoundReply> {
        const { ballot, contentHash, epoch, pass, version } = call;
        if (this.prepared?.version !== version || this.prepared.contentHash !== contentHash) {
            return this.refusal("another map was prepared");
        }
        if (report.preparedVersion !== version) {
            return this.refusal("the copy is not complete");
        }
        const isArmed = await this.orderUntilConfirmed(
            { kind: "arm", version, pass },
            epoch,
            ({ armed }) => armed?.version === version && armed.pass === pass,
        );
        this.armedBallot = ballot;
        return isArmed ? { kind: "done" } : this.refusal("the rank could not be armed");
    }

    private async handleDisarm(
        call: RoundCall & { readonly kind: "disarm"; },
        { armed }: RankReport,
        size: number,
    ): Promise<RoundReply> {
        if (!armed || !this.isArmedBy(call, armed, size)) {
            return { kind: "done" };
        }
        const isDisarmed = await this.orderUntilConfirmed(
            { kind: "disarm", version: armed.version },
            call.epoch,
            report => report.armed === undefined && report.mapVersion !== armed.version,
        );
        return isDisarmed ? { kind: "done" } : this.refusal("the rank could not be disarmed");
    }

    /**
     * A group without requests starts no pass, so a later round may have armed the rank for the same pass.
     */
    private isArmedBy(
        { ballot, holder, pass, version }: RoundCall & { readonly kind: "disarm"; },
        armed: NonNullable<RankReport["armed"]>,
        size: number,
    ): boolean {
        if (armed.pass !== pass) {
            return false;
        }
        if (isFaultSeeded("rank.disarm-later-rounds")) {
            return true;
        }
        if (version !== undefined) {
            return armed.version === version;
        }
        const isLater = this.armedBallot !== undefined && compareBallots(this.armedBallot, ballot) > 0;
        return holderForVersion(armed.version, size) === holder && !isLater;
    }

    /** Repeats an order until the rank's state shows that it took effect, or that it cannot. */
    private async orderUntilConfirmed(
        order: RankOrder,
        epoch: number,
        isDone: (report: RankReport) => boolean,
    ): Promise<boolean> {
        for (let attempt = 0; attempt < MAX_ORDER_ATTEMPTS; attempt++) {
            const result = await this.order(order, epoch);
            if (result === "unanswered") {
                // Behind the raised fence the order cannot take effect late, so the state that is read next
                // is final.
                await this.raiseFence();
            }
            const report = await this.report();
            if (report.group?.epoch !== epoch) {
                return false;
            }
            if (isDone(report)) {
                return true;
            }
            if (result === "conflict" || result === "refused" || result === "fenced") {
                return false;
            }
        }
        return false;
    }

    /**
     * Raises the fence before the first order of this incarnation, so that no order of an earlier one takes
     * effect.
     */
    private async ensureFenced(): Promise<void> {
        if (!this.isFenced) {
            await this.raiseFence();
            this.isFenced = true;
        }
    }

    private isClosed(ballot: Ballot): boolean {
        return compareBallots(ballot, this.closedBallot) <= 0 && !isFaultSeeded("rank.accept-closed-ballot");
    }

    private async raiseFence(): Promise<void> {
        if (isFaultSeeded("rank.skip-fence")) {
            return;
        }
        for (let attempt = 0; attempt < MAX_FENCE_ATTEMPTS; attempt++) {
            const { armed, group, mapVersion, preparedVersion } = await this.report();
            if (!group) {
                return;
            }
            const unusedVersion = Math.max(mapVersion, preparedVersion ?? 0, armed?.version ?? 0)
                + 1 as MapVersion;
            if (await this.order({ kind: "disarm", version: unusedVersion }, group.epoch) === "accepted") {
                return;
            }
        }
        throw new RankStateError("the fence of the rank could not be raised");
    }

    private async order(order: RankOrder, epoch: number): Promise<OrderResult> {
        const { events, server } = this.options;
        const token = this.tokens.next();
        const result = await this.withTimeout(
            ORDER_TIMEOUT_MS,
            signal => server.order(order, epoch, token, signal),
        );
        if (result === "fenced") {
            // Another agent, or an earlier incarnation with a fast clock, has used a higher token.
            this.tokens.skipAhead();
            this.wasOvertaken = this.isFenced;
            this.isFenced = false;
        }
        if (result === "unanswered") {
            events.emit(orderUnanswered, { order: order.kind, epoch, token });
        }
        return result;
    }

    private async report(): Promise<RankReport> {
        const readMs = this.options.clock.nowMs();
        const report = await this.withTimeout(
            READ_TIMEOUT_MS,
            signal => this.options.server.report(signal),
        );
        this.latestReport = { report, readMs };
        return report;
    }

    private async withTimeout<T>(timeoutMs: number, call: (signal: AbortSignal) => Promise<T>): Promise<T> {
        using timeout = timeoutSignal(this.options.clock, timeoutMs);
        return await call(timeout.signal);
    }

    private refusal(reason: string): RoundReply {
        return { kind: "refused", reason, promised: this.promised };
    }
}
