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
}

interface CachedUnits {
    readonly total: number;
    readonly units: number;
}

/** Computes this instance's part of the fleet's limits. */
export class FleetAllotment {
    private readonly unitsByKey = new Map<string, CachedUnits>();
    private view: FleetView = { others: [], size: 1 };

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
        const view = this.readView();
        if (view.others !== this.view.others || view.size !== this.view.size) {
            this.view = view;
            this.unitsByKey.clear();
        }
        const cached = this.unitsByKey.get(key);
        if (cached?.total === total) {
            return cached.units;
        }
        const wholePart = Math.floor(total / view.size);
        const units = wholePart + (this.isInRemainder(key, total % view.size) ? 1 : 0);
        this.unitsByKey.set(key, { total, units });
        return units;
    }

    /**
     * Tells whether this instance is among the first for a key. While not all instances are known, fewer of the
     * known ones count, since unknown ones may come before them.
     */
    private isInRemainder(key: string, remainder: number): boolean {
        const { others, size } = this.view;
        const known = others.length + 1;
        const places = remainder * (known / size) ** 2;
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
