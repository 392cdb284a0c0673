/**
 * Search for the copies whose move takes the most load off the fullest rank of a layer.
 *
 * @packageDocumentation
 */

import { fillLevel, indexCopies } from "./balanceShares.ts";
import type { LayerView } from "./layerView.ts";

/** A new copy that takes the slot of a redundant one. */
export interface ReplicateMove {
    readonly kind: "replicate";
    /** Slot that gets the copy. */
    readonly slot: number;
    /** Expert that is copied. */
    readonly expert: number;
}

/** Two copies that change places. */
export interface SwapMove {
    readonly kind: "swap";
    /** Slot on the fullest rank. */
    readonly slot: number;
    /** Slot on the other rank. */
    readonly otherSlot: number;
}

/** One change of a layer. */
export type LayerMove = ReplicateMove | SwapMove;

/**
 * Number of expert copies that a move loads from the weight store.
 *
 * @param move - the move
 * @returns copies
 */
export const copiesOf = (move: LayerMove): number => {
    switch (move.kind) {
        case "replicate":
            return 1;
        case "swap":
            return 2;
    }
};

interface Candidate {
    readonly move: LayerMove;
    /** Load of the fullest rank that the move touches, afterwards. */
    readonly peak: number;
}

/** Ranks, experts and redundant copies that the search looks at, the most promising ones. */
const LIGHT_RANKS = 4;
const HOT_SLOTS = 4;
const REDUNDANT_SLOTS = 2;
/** A swap loads two copies, so it must do better than a new copy by this share of the excess. */
const SWAP_HANDICAP = 0.25;

/** Looks for the best move of one layer in its present state. */
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

    /** Returns the move that leaves the touched ranks with the least load. */
    public run(): LayerMove | undefined {
        const lightRanks = this.lightRanks();
        const hotSlots = this.slotsOf(this.hotRank)
            .filter(slot => this.loadOf(slot) > 0)
            .sort((left, right) => this.loadOf(right) - this.loadOf(left) || left - right)
            .slice(0, HOT_SLOTS);
        for (const slot of hotSlots) {
            this.tryReplicas(this.view.experts[slot]!, lightRanks);
            this.trySwaps(slot);
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
        const excess = this.rankLoads[this.hotRank]! - candidate.peak;
        const handicap = candidate.move.kind === "swap" ? SWAP_HANDICAP * excess : 0;
        const score = candidate.peak + handicap;
        if (score < this.bestScore - 1e-9) {
            this.bestScore = score;
            this.best = candidate;
        }
    }

    private lightRanks(): number[] {
        return Array.from(this.rankLoads, (_, rank) => rank)
            .sort((left, right) => this.rankLoads[left]! - this.rankLoads[right]! || left - right)
            .slice(0, LIGHT_RANKS);
    }

    private slotsOf(rank: number): number[] {
        const { slotsPerRank } = this.view;
        return Array.from({ length: slotsPerRank }, (_, index) => rank * slotsPerRank + index);
    }

    private tryReplicas(expert: number, lightRanks: readonly number[]): void {
        for (const rank of lightRanks) {
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
        const dropped = this.view.experts[slot]!;
        const remaining = this.copiesOfExpert(dropped).filter(copy => copy !== slot);
        this.refill(loads, dropped, [...this.copiesOfExpert(dropped)], [...remaining]);
        const present = [...this.copiesOfExpert(expert)];
        this.refill(loads, expert, present, [...present, slot]);
        let peak = loads[this.hotRank]!;
        for (const copy of [...present, ...remaining, slot]) {
            peak = Math.max(peak, loads[this.rankOf(copy)]!);
        }
        return peak;
    }

    private refill(
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

    private trySwaps(slot: number): void {
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
 * Finds the move that takes the most load off the fullest rank.
 *
 * @param view - the layer
 * @param rankLoads - load of each rank
 * @param hotRank - the fullest rank
 * @returns the move, or undefined when none helps
 */
export const findBestMove = (
    view: LayerView,
    rankLoads: Float64Array,
    hotRank: number,
): LayerMove | undefined => new MoveSearch(view, rankLoads, hotRank).run();

/**
 * Carries out a move. The shares of the experts it touches become uneven; balance them afterwards.
 *
 * @param view - the layer; its slots and shares change
 * @param move - the move
 */
export const applyMove = (view: LayerView, move: LayerMove): void => {
    switch (move.kind) {
        case "replicate": {
            const dropped = view.experts[move.slot]!;
            const share = view.shares[move.slot]!;
            const heir = view.experts.findIndex((expert, slot) => expert === dropped && slot !== move.slot);
            view.shares[heir]! += share;
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
