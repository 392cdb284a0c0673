/**
 * Ends a round whose leader has fallen silent in the middle, for instance because its machine was suspended: its rank
 * may hold a pass, and the whole group waits for it.
 *
 * The leader is fenced out first, so that it cannot release the pass when it wakes. Then all ranks are disarmed, and
 * only when each of them has confirmed is the pass released.
 *
 * @packageDocumentation
 */

import { type Clock, type EventLog, sleep, timeoutSignal } from "@magnolialock/kernel";
import type { Ballot, RoundCall } from "../types/rankMessages.ts";
import type {
    FencingToken,
    MapVersion,
    OrderResult,
    PassNumber,
    RankOrder,
    RankReport,
    RankServer,
} from "../types/rankServer.ts";
import { FencingTokens } from "./fencingTokens.ts";
import { foreignRoundEnded } from "./rankEvents.ts";
import type { RankPeer } from "./switchRound.ts";

/** Options of {@link endForeignRound}. */
export interface ForeignRoundOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** The silent agent's rank, reached from this machine. */
    readonly server: RankServer;
    /** The silent agent's rank. */
    readonly rank: number;
    /** Agents of all other ranks, the own one included. */
    readonly others: readonly RankPeer[];
    /** Life of the group. */
    readonly epoch: number;
    /** Higher than every ballot that the others have seen; its rank is that of the silent agent. */
    readonly ballot: Ballot;
}

/** Longest wait for an answer from another machine. */
const CALL_TIMEOUT_MS = 300;
/** Age that a rank's report may have when it is read from another machine; an earlier one may not show the last order. */
const REPORT_LAG_MS = 350;
/** Time between tries, in milliseconds. */
const RETRY_MS = 50;
/** Tries of one step; afterwards the silent agent, or the next look at it, has to finish. */
const MAX_TRIES = 40;

/** One round to be ended. */
class ForeignRound {
    private readonly tokens: FencingTokens;

    public constructor(private readonly options: ForeignRoundOptions) {
        this.tokens = new FencingTokens(options.clock);
    }

    /** Ends the round; returns whether a pass was released. */
    public async end(): Promise<boolean> {
        const { clock, events, epoch, rank } = this.options;
        const startMs = clock.nowMs();
        const before = await this.report();
        if (before.group?.epoch !== epoch || before.heldPass === undefined) {
            return false;
        }
        const versions = [before.mapVersion, before.preparedVersion ?? 0, before.armed?.version ?? 0];
        const unused = Math.max(...versions) + 1 as MapVersion;
        if (!await this.orderUntilAccepted({ kind: "disarm", version: unused })) {
            return false;
        }
        await sleep(clock, REPORT_LAG_MS);
        const fenced = await this.report();
        const { armed, heldPass } = fenced;
        if (fenced.group?.epoch !== epoch || heldPass === undefined) {
            return false;
        }
        if (armed && !await this.orderUntilAccepted({ kind: "disarm", version: armed.version })) {
            return false;
        }
        if (!await this.disarmOthers(heldPass)) {
            return false;
        }
        const isReleased = await this.orderUntilAccepted({ kind: "release", pass: heldPass });
        const tookMs = Math.round(clock.nowMs() - startMs);
        events.emit(foreignRoundEnded, { rank, epoch, pass: heldPass, isReleased, tookMs });
        return isReleased;
    }

    private async disarmOthers(pass: PassNumber): Promise<boolean> {
        const { ballot, clock, epoch } = this.options;
        const call: RoundCall = { kind: "disarm", ballot, epoch, pass };
        let waiting = [...this.options.others];
        for (let tries = 0; tries < MAX_TRIES && waiting.length > 0; tries++) {
            const replies = await Promise.allSettled(waiting.map(peer => peer.send(call)));
            waiting = waiting.filter((_, index) => {
                const reply = replies[index];
                return reply?.status !== "fulfilled" || reply.value.kind !== "done";
            });
            if (waiting.length > 0) {
                await sleep(clock, RETRY_MS);
            }
        }
        return waiting.length === 0;
    }

    /** False when another agent has a higher token: that one has woken and finishes the round itself. */
    private async orderUntilAccepted(order: RankOrder): Promise<boolean> {
        for (let tries = 0; tries < MAX_TRIES; tries++) {
            const result = await this.order(order);
            if (result === "accepted") {
                return true;
            }
            if (result !== "unanswered") {
                return false;
            }
        }
        return false;
    }

    private async order(order: RankOrder): Promise<OrderResult> {
        const { clock, epoch, server } = this.options;
        using timeout = timeoutSignal(clock, CALL_TIMEOUT_MS);
        const token: FencingToken = this.tokens.next();
        return await server.order(order, epoch, token, timeout.signal);
    }

    private async report(): Promise<RankReport> {
        using timeout = timeoutSignal(this.options.clock, CALL_TIMEOUT_MS);
        return await this.options.server.report(timeout.signal);
    }
}

/**
 * Ends the round of a silent agent if its rank holds a pass.
 *
 * @param options - the silent agent's rank and the others
 * @returns whether a held pass was released
 * @throws when the rank's server does not answer
 */
export const endForeignRound = (options: ForeignRoundOptions): Promise<boolean> =>
    new ForeignRound(options).end();
