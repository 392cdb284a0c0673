/**
 * Divides limits that hold for the whole fleet among its instances, without coordination.
 *
 * Every instance gets an equal whole part of a limit. The remainder goes, one unit each, to the instances that
 * rendezvous hashing puts first for the limit's key. So the parts add up to the limit in a fleet of any size:
 * where a limit is smaller than the fleet, a few instances hold all of it, different ones for different keys.
 *
 * @packageDocumentation
 */

import { hash32 } from "@magnolialock/kernel";

/** The fleet as one instance knows it. */
export interface FleetView {
    /**
     * Names of the other instances that may be alive. The array is replaced when it changes.
     */
    readonly others: readonly string[];
    /** Number of instances that may be alive, this one included; at least the number of known ones. */
    readonly size: number;
    /**
     * Whether nearly all instances are known by name. An instance that has just started knows few others, and
     * would take itself for the first of them.
     */
    readonly isSettled: boolean;
}

interface CachedUnits {
    readonly total: number;
    readonly units: number;
}

/** Computes this instance's part of the fleet's limits. */
export class FleetAllotment {
    private readonly unitsByKey = new Map<string, CachedUnits>();
    private view: FleetView = { others: [], size: 1, isSettled: false };

    /**
     * @param ownName - name of this instance, as the others know it
     * @param readView - returns the current view of the fleet
     */
    public constructor(private readonly ownName: string, private readonly readView: () => FleetView) {}

    /**
     * Returns this instance's part of a limit.
     *
     * @param key - what is limited, for instance a backend server
     * @param total - limit of all instances together, a whole number
     * @returns units of this instance; 0 where others hold all of them
     */
    public unitsOf(key: string, total: number): number {
        this.refreshView();
        const cached = this.unitsByKey.get(key);
        if (cached?.total === total) {
            return cached.units;
        }
        const { size } = this.view;
        const units = Math.floor(total / size) + (this.isInRemainder(key, total % size) ? 1 : 0);
        this.unitsByKey.set(key, { total, units });
        return units;
    }

    /**
     * Returns this instance's part of a limit that must not be exceeded by instances that have just started: they
     * get nothing. The others divide the limit among the instances that they know.
     *
     * @param key - what is limited
     * @param total - limit of all instances together, a whole number
     */
    public settledUnitsOf(key: string, total: number): number {
        this.refreshView();
        const { isSettled, others } = this.view;
        if (!isSettled) {
            return 0;
        }
        const known = others.length + 1;
        const cacheKey = `settled ${key}`;
        const cached = this.unitsByKey.get(cacheKey);
        if (cached?.total === total) {
            return cached.units;
        }
        const isInRemainder = this.precedes(key, total % known);
        const units = Math.floor(total / known) + (isInRemainder ? 1 : 0);
        this.unitsByKey.set(cacheKey, { total, units });
        return units;
    }

    private refreshView(): void {
        const view = this.readView();
        const { isSettled, others, size } = this.view;
        if (view.others !== others || view.size !== size || view.isSettled !== isSettled) {
            this.view = view;
            this.unitsByKey.clear();
        }
    }

    /**
     * Tells whether this instance is among the first for a key. While not all instances are known, fewer of the
     * known ones count, since unknown ones may come before them.
     */
    private isInRemainder(key: string, remainder: number): boolean {
        const { others, size } = this.view;
        const known = others.length + 1;
        return this.precedes(key, remainder * (known / size) ** 2);
    }

    /** Tells whether fewer of the known instances than there are places come before this one. */
    private precedes(key: string, places: number): boolean {
        const { others } = this.view;
        const seed = hash32(key);
        const ownWeight = hash32(this.ownName, seed);
        let precedingCount = 0;
        for (const other of others) {
            if (precedingCount >= places) {
                return false;
            }
            const weight = hash32(other, seed);
            const isBefore = weight > ownWeight || weight === ownWeight && other < this.ownName;
            precedingCount += isBefore ? 1 : 0;
        }
        return precedingCount < places;
    }
}
