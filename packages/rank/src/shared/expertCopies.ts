/**
 * Copies of the experts of one set: which rank holds which, in typed arrays, since a plan reads and changes
 * them thousands of times.
 *
 * @packageDocumentation
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";

/** Stands for an absent rank, expert or slot. */
export const NONE = -1;

const HELD = 1;
const HELD_AT_FIRST = 2;

/** Copies of the experts of one set on the ranks of a group. */
export class ExpertCopies {
    /** Number of ranks. */
    public readonly ranks: number;
    /** Number of experts. */
    public readonly experts: number;
    /** Slots of each rank; those of rank `r` begin at `r * slotsPerRank`, used ones first. */
    public readonly slotsPerRank: number;
    /** Used slots, by rank. */
    public readonly used: Int32Array;
    /** Expert in each slot. */
    public readonly expertBySlot: Int32Array;
    /** Rank of each slot. */
    public readonly rankBySlot: Int32Array;
    /** First slot of the list of an expert's slots. */
    public readonly firstSlot: Int32Array;
    /** Next slot of the list that a slot belongs to. */
    public readonly nextSlot: Int32Array;
    /** Number of copies, by expert. */
    public readonly copies: Int32Array;
    /** Copies on a rank that it did not hold at first, by rank. */
    public readonly newCopies: Int32Array;
    private readonly previousSlot: Int32Array;
    private readonly holdings: Uint8Array;

    /**
     * @param placement - experts of each rank
     * @param limits - limits of maps; a map in force that exceeds them is kept as it is
     */
    public constructor(placement: readonly (readonly number[])[], limits: ExpertSpec) {
        this.ranks = placement.length;
        this.experts = limits.experts;
        this.slotsPerRank = limits.placesPerRank;
        for (const held of placement) {
            this.slotsPerRank = Math.max(this.slotsPerRank, held.length);
            this.experts = held.reduce((count, expert) => Math.max(count, expert + 1), this.experts);
        }
        const slots = this.ranks * this.slotsPerRank;
        this.used = new Int32Array(this.ranks);
        this.expertBySlot = new Int32Array(slots);
        this.rankBySlot = Int32Array.from(
            { length: slots },
            (_, slot) => Math.floor(slot / this.slotsPerRank),
        );
        this.firstSlot = new Int32Array(this.experts).fill(NONE);
        this.nextSlot = new Int32Array(slots);
        this.previousSlot = new Int32Array(slots);
        this.copies = new Int32Array(this.experts);
        this.newCopies = new Int32Array(this.ranks);
        this.holdings = new Uint8Array(this.ranks * this.experts);
        placement.forEach((held, rank) => {
            for (const expert of held) {
                if (!this.holds(rank, expert)) {
                    this.holdings[rank * this.experts + expert] = HELD_AT_FIRST;
                    this.add(rank, expert);
                }
            }
        });
    }

    /**
     * Tells whether a rank holds an expert.
     *
     * @param rank - the rank
     * @param expert - the expert
     */
    public holds(rank: number, expert: number): boolean {
        return ((this.holdings[rank * this.experts + expert] as number) & HELD) !== 0;
    }

    /**
     * Tells whether a rank held an expert at first, so that a copy of it is not a new one.
     *
     * @param rank - the rank
     * @param expert - the expert
     */
    public heldAtFirst(rank: number, expert: number): boolean {
        return ((this.holdings[rank * this.experts + expert] as number) & HELD_AT_FIRST) !== 0;
    }

    /**
     * Adds a copy to a free slot of a rank that does not hold the expert.
     *
     * @param rank - the rank
     * @param expert - the expert
     * @returns change of the rank's number of new copies
     */
    public add(rank: number, expert: number): number {
        const used = this.used[rank] as number;
        this.used[rank] = used + 1;
        this.insertSlot(rank * this.slotsPerRank + used, expert);
        return this.count(rank, expert, 1);
    }

    /**
     * Removes a copy from a rank that holds the expert.
     *
     * @param rank - the rank
     * @param expert - the expert
     * @returns change of the rank's number of new copies
     */
    public remove(rank: number, expert: number): number {
        const first = rank * this.slotsPerRank;
        const last = first + (this.used[rank] as number) - 1;
        const slot = this.expertBySlot.indexOf(expert, first);
        this.removeSlot(slot);
        if (slot !== last) {
            this.removeSlot(last);
            this.insertSlot(slot, this.expertBySlot[last] as number);
        }
        this.used[rank] = last - first;
        return this.count(rank, expert, -1);
    }

    /** Lists the experts of each rank, in ascending order. */
    public placement(): number[][] {
        return Array.from({ length: this.ranks }, (_, rank) => {
            const first = rank * this.slotsPerRank;
            return [...this.expertBySlot.slice(first, first + (this.used[rank] as number)).sort()];
        });
    }

    private count(rank: number, expert: number, change: 1 | -1): number {
        const index = rank * this.experts + expert;
        this.holdings[index] = (this.holdings[index] as number) ^ HELD;
        this.copies[expert] = (this.copies[expert] as number) + change;
        const newCopiesChange = this.heldAtFirst(rank, expert) ? 0 : change;
        this.newCopies[rank] = (this.newCopies[rank] as number) + newCopiesChange;
        return newCopiesChange;
    }

    private insertSlot(slot: number, expert: number): void {
        const next = this.firstSlot[expert] as number;
        this.expertBySlot[slot] = expert;
        this.nextSlot[slot] = next;
        this.previousSlot[slot] = NONE;
        this.firstSlot[expert] = slot;
        if (next !== NONE) {
            this.previousSlot[next] = slot;
        }
    }

    private removeSlot(slot: number): void {
        const next = this.nextSlot[slot] as number;
        const previous = this.previousSlot[slot] as number;
        if (previous === NONE) {
            this.firstSlot[this.expertBySlot[slot] as number] = next;
        }
        else {
            this.nextSlot[previous] = next;
        }
        if (next !== NONE) {
            this.previousSlot[next] = previous;
        }
    }
}
