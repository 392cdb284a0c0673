/**
 * Search for the move that takes the most load off the most loaded rank of a layer.
 *
 * @packageDocumentation
 */

import { fillLevel, indexCopies } from "./balanceShares.ts";
import type { LayerView } from "./layerView.ts";

/** Loads a new copy into the slot of a redundant copy. */
export interface ReplicateMove {
    readonly kind: "replicate";
    /** Slot that gets the new copy. */
    readonly slot: number;
    /** Expert that is copied. */
    readonly expert: number;
}

/** Swaps two copies between ranks. */
export interface SwapMove {
    readonly kind: "swap";
    /** Slot on the most loaded rank. */
    readonly slot: number;
    /** Slot on the other rank. */
    readonly otherSlot: number;
}

/** One change to the slots of a layer. */
export type LayerMove = ReplicateMove | SwapMove;

/**
 * Counts the expert copies that a move loads from the weight store.
 *
 * @param move - the move
 * @returns number of copies
 */
export const copiesLoadedBy = (move: LayerMove): number => {
    switch (move.kind) {
        case "replicate":
            return 1;
        case "swap":
            return 2;
    }
};

interface Candidate {
    readonly move: LayerMove;
    /** Load of the most loaded rank among those affected by the move, after the move. */
    readonly peak: number;
}

/**
 * Number of least loaded ranks, hot slots and redundant slots that the search considers, the most promising
 * first.
 */
const TARGET_RANKS = 4;
const HOT_SLOTS = 4;
const REDUNDANT_SLOTS = 2;
/**
 * A swap loads two copies, so this share of its load reduction is deducted when it is compared with a new
 * copy.
 */
const SWAP_PENALTY = 0.25;

/** Searches for the best move of one layer in its current state. */
class MoveSearch {
    private best: Candidate | undefined;
    private bestScore: number;
    private readonly index;

    public constructor(
        private readonly view: LayerView,
        private readonly rankLoads: Float64Array,
        private readonly hotRank: number,
    ) {
        this.bestScore = rankLoads[hotRank]!;
        this.index = indexCopies(view);
    }

    /**
     * Returns the move with the lowest peak load of the affected ranks, or undefined when none lowers the
     * peak.
     */
    public run(): LayerMove | undefined {
        const leastLoadedRanks = this.leastLoadedRanks();
        const hotSlots = this.slotsOf(this.hotRank)
            .filter(slot => this.loadOf(slot) > 0)
            .sort((left, right) => this.loadOf(right) - this.loadOf(left) || left - right)
            .slice(0, HOT_SLOTS);
        for (const slot of hotSlots) {
            this.considerReplicas(this.view.experts[slot]!, leastLoadedRanks);
            this.considerSwaps(slot);
        }
        return this.best?.move;
    }

    private loadOf(slot: number): number {
        return this.view.loads[this.view.experts[slot]!]! * this.view.shares[slot]!;
    }

    private rankOf(slot: number): number {
        return Math.floor(slot / this.view.slotsPerRank);
    }

    private copiesOfExpert(expert: number): Uint16Array {
        return this.index.slots.subarray(this.index.starts[expert]!, this.index.starts[expert + 1]!);
    }

    private isHeldBy(rank: number, expert: number): boolean {
        return this.copiesOfExpert(expert).some(slot => this.rankOf(slot) === rank);
    }

    private consider(candidate: Candidate): void {
        const reduction = this.rankLoads[this.hotRank]! - candidate.peak;
        const penalty = candidate.move.kind === "swap" ? SWAP_PENALTY * reduction : 0;
        const score = candidate.peak + penalty;
        if (score < this.bestScore - 1e-9) {
            this.bestScore = score;
            this.best = candidate;
        }
    }

    private leastLoadedRanks(): number[] {
        return Array.from(this.rankLoads, (_, rank) => rank)
            .sort((left, right) => this.rankLoads[left]! - this.rankLoads[right]! || left - right)
            .slice(0, TARGET_RANKS);
    }

    private slotsOf(rank: number): number[] {
        const { slotsPerRank } = this.view;
        return Array.from({ length: slotsPerRank }, (_, index) => rank * slotsPerRank + index);
    }

    private considerReplicas(expert: number, targetRanks: readonly number[]): void {
        for (const rank of targetRanks) {
            if (rank === this.hotRank || this.isHeldBy(rank, expert)) {
                continue;
            }
            const redundant = this.slotsOf(rank)
                .filter(slot => this.copiesOfExpert(this.view.experts[slot]!).length > 1)
                .sort((left, right) => this.loadOf(left) - this.loadOf(right) || left - right)
                .slice(0, REDUNDANT_SLOTS);
            for (const slot of redundant) {
                const peak = this.peakAfterReplica(expert, slot);
                this.consider({ move: { kind: "replicate", slot, expert }, peak });
            }
        }
    }

    private peakAfterReplica(expert: number, slot: number): number {
        const loads = this.rankLoads.slice();
        const evicted = this.view.experts[slot]!;
        const remaining = this.copiesOfExpert(evicted).filter(copy => copy !== slot);
        this.redistribute(loads, evicted, [...this.copiesOfExpert(evicted)], [...remaining]);
        const present = [...this.copiesOfExpert(expert)];
        this.redistribute(loads, expert, present, [...present, slot]);
        let peak = loads[this.hotRank]!;
        for (const copy of [...present, ...remaining, slot]) {
            peak = Math.max(peak, loads[this.rankOf(copy)]!);
        }
        return peak;
    }

    private redistribute(
        loads: Float64Array,
        expert: number,
        before: readonly number[],
        after: readonly number[],
    ): void {
        for (const slot of before) {
            loads[this.rankOf(slot)]! -= this.loadOf(slot);
        }
        const load = this.view.loads[expert]!;
        const ranks = after.map(slot => this.rankOf(slot));
        const level = fillLevel(ranks.map(rank => loads[rank]!).sort((left, right) => left - right), load);
        for (const rank of ranks) {
            loads[rank] = Math.max(loads[rank]!, level);
        }
    }

    private considerSwaps(slot: number): void {
        const expert = this.view.experts[slot]!;
        const load = this.loadOf(slot);
        for (let otherSlot = 0; otherSlot < this.view.experts.length; otherSlot++) {
            const rank = this.rankOf(otherSlot);
            const otherLoad = this.loadOf(otherSlot);
            if (rank === this.hotRank || otherLoad >= load) {
                continue;
            }
            const peak = Math.max(
                this.rankLoads[this.hotRank]! - load + otherLoad,
                this.rankLoads[rank]! - otherLoad + load,
            );
            const isWorthwhile = peak < this.bestScore;
            if (
                isWorthwhile && !this.isHeldBy(rank, expert)
                && !this.isHeldBy(this.hotRank, this.view.experts[otherSlot]!)
            ) {
                this.consider({ move: { kind: "swap", slot, otherSlot }, peak });
            }
        }
    }
}

/**
 * Finds the move that takes the most load off the most loaded rank.
 *
 * @param view - the layer
 * @param rankLoads - load of each rank
 * @param hotRank - the most loaded rank
 * @returns the move, or undefined when none helps
 */
export const findBestMove = (
    view: LayerView,
    rankLoads: Float64Array,
    hotRank: number,
): LayerMove | undefined => new MoveSearch(view, rankLoads, hotRank).run();

/**
 * Applies a move. It leaves the shares of the affected experts unbalanced; the caller balances them
 * afterwards.
 *
 * @param view - the layer; its slots and shares change
 * @param move - the move
 */
export const applyMove = (view: LayerView, move: LayerMove): void => {
    switch (move.kind) {
        case "replicate": {
            const evicted = view.experts[move.slot]!;
            const share = view.shares[move.slot]!;
            const remainingSlot = view.experts.findIndex((expert, slot) =>
                expert === evicted && slot !== move.slot
            );
            view.shares[remainingSlot]! += share;
            view.experts[move.slot] = move.expert;
            view.shares[move.slot] = 0;
            return;
        }
        case "swap": {
            const { slot, otherSlot } = move;
            const expert = view.experts[slot]!;
            const share = view.shares[slot]!;
            view.experts[slot] = view.experts[otherSlot]!;
            view.shares[slot] = view.shares[otherSlot]!;
            view.experts[otherSlot] = expert;
            view.shares[otherSlot] = share;
            return;
        }
    }
};
