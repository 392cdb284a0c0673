/**
 * Model of a rank's server that behaves as the platform's engines do: rising versions, fencing, armed maps
 * and holds.
 */

import type { ExpertSpec } from "@magnolialock/direct/src/types/publishedState.ts";
import { branded, type Clock, type GroupName } from "@magnolialock/kernel";
import type { MapVersion, OrderResult, PassNumber, RankOrder, RankReport } from "../../types/rankServer.ts";
import { hashPlacement } from "../ballots.ts";

export const SPEC: ExpertSpec = { sets: 2, experts: 16, placesPerRank: 6, newPerPreparation: 3, copyMs: 30 };

/** State of the group that a rank reads. */
export interface GroupView {
    readonly clock: Clock;
    readonly size: number;
    readonly epoch: number;
    readonly pass: PassNumber;
}

interface MapContent {
    readonly version: MapVersion;
    readonly hash: string;
    readonly experts: readonly (readonly number[])[];
}

const initialContent = (rank: number, ranks: number): MapContent => {
    const assignedExperts = Array.from({ length: SPEC.experts }, (_, expert) => expert).filter(expert =>
        expert % ranks === rank
    );
    return {
        version: branded<MapVersion>(0),
        hash: "initial",
        experts: Array.from({ length: SPEC.sets }, () => assignedExperts),
    };
};

/** Server of one rank, shared by all incarnations of its agent. */
export class VirtualRank {
    public inForce: MapContent;
    public prepared: (MapContent & { readonly readyMs: number; }) | undefined;
    public armed: { readonly content: MapContent; readonly pass: PassNumber; } | undefined;
    public heldPass: PassNumber | undefined;
    public readonly selectionCounts = new Array<number>(SPEC.sets * SPEC.experts).fill(0);
    private fence = 0;
    private highestVersion = 0;

    public constructor(public readonly group: GroupView, public readonly rank: number) {
        this.inForce = initialContent(rank, group.size);
    }

    public reset(): void {
        this.inForce = initialContent(this.rank, this.group.size);
        this.prepared = undefined;
        this.armed = undefined;
        this.heldPass = undefined;
        this.fence = 0;
        this.highestVersion = 0;
    }

    public report(): RankReport {
        const { clock, epoch, pass, size } = this.group;
        const { prepared } = this;
        return {
            group: { name: branded<GroupName>("g"), epoch, rank: this.rank, isOpen: true, size },
            pass,
            mapVersion: this.inForce.version,
            preparedVersion: prepared && prepared.readyMs <= clock.nowMs() ? prepared.version : undefined,
            armed: this.armed && { version: this.armed.content.version, pass: this.armed.pass },
            heldPass: this.heldPass,
            runningRequests: 1,
            slowness: 1,
        };
    }

    public execute(order: RankOrder, epoch: number, token: number): OrderResult {
        if (epoch !== this.group.epoch) {
            return "conflict";
        }
        if (token < this.fence) {
            return "fenced";
        }
        const result = this.apply(order);
        if (result === "accepted") {
            this.fence = token;
        }
        return result;
    }

    private apply(order: RankOrder): OrderResult {
        const hasStarted = (pass: PassNumber): boolean => pass <= this.group.pass;
        switch (order.kind) {
            case "prepare":
                if (this.armed || order.version <= this.highestVersion) {
                    return "conflict";
                }
                this.highestVersion = order.version;
                this.prepared = {
                    version: order.version,
                    hash: hashPlacement(order.placement),
                    experts: order.placement.map(ranks => ranks[this.rank] ?? []),
                    readyMs: this.group.clock.nowMs() + 3 * SPEC.copyMs,
                };
                return "accepted";
            case "arm": {
                const { prepared } = this;
                const isReady = prepared && prepared.readyMs <= this.group.clock.nowMs();
                if (!isReady || prepared.version !== order.version || hasStarted(order.pass)) {
                    return "conflict";
                }
                this.armed = { content: prepared, pass: order.pass };
                return "accepted";
            }
            case "disarm":
                if (this.inForce.version === order.version) {
                    return "conflict";
                }
                if (this.armed?.content.version === order.version) {
                    this.armed = undefined;
                }
                return "accepted";
            case "hold":
                if (this.heldPass !== undefined || hasStarted(order.pass)) {
                    return "conflict";
                }
                this.heldPass = order.pass;
                return "accepted";
            case "release":
                if (this.heldPass === order.pass) {
                    this.heldPass = undefined;
                }
                return "accepted";
        }
    }

    public startPass(pass: PassNumber): void {
        if (this.armed?.pass === pass) {
            this.inForce = this.armed.content;
            this.armed = undefined;
            this.prepared = undefined;
        }
    }
}
