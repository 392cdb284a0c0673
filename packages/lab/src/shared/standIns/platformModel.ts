/**
 * Stand-in of the platform: a value that can be read and watched, and an instance list that lags.
 *
 * @packageDocumentation
 */

import type { ListedInstance, Platform, PublishedInstances, PublishedRules } from "@magnolialock/control";
import {
    branded,
    type Clock,
    createDeferred,
    type Revision,
    timeoutSignal,
    UnreachableError,
} from "@magnolialock/kernel";

/** How the platform answers. */
export type PlatformMode = "up" | "stale" | "down";

/** Options of a {@link PlatformModel}. */
export interface PlatformModelOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Delay of changes in the instance list, in milliseconds. */
    readonly listLagMs?: number;
}

const DEFAULT_LIST_LAG_MS = 5_000;

/** A value with a version that readers can wait on. */
class WatchedValue<T> {
    private waiters = new Set<() => void>();

    public constructor(public value: T, public version: number) {}

    public set(value: T, version: number): void {
        this.value = value;
        this.version = version;
        const { waiters } = this;
        this.waiters = new Set();
        for (const wake of waiters) {
            wake();
        }
    }

    public waitForChange(signal: AbortSignal): Promise<void> {
        const { promise, resolve } = createDeferred<void>();
        this.waiters.add(resolve);
        signal.addEventListener("abort", () => {
            this.waiters.delete(resolve);
            resolve();
        }, { once: true });
        return promise;
    }
}

/** The platform's configuration service and instance list. */
export class PlatformModel implements Platform {
    /** Times of all calls, in milliseconds, for counting. */
    public readonly callTimesMs: number[] = [];
    /** How it answers. */
    public mode: PlatformMode = "up";
    private readonly clock: Clock;
    private readonly listLagMs: number;
    private readonly rules = new WatchedValue<Uint8Array | undefined>(undefined, 0);
    private readonly list = new WatchedValue<readonly ListedInstance[]>([], 0);
    private readonly history = new Map<number, Uint8Array>();
    private staleRules: PublishedRules | undefined;

    /** @param options - clock and lag */
    public constructor(options: PlatformModelOptions) {
        this.clock = options.clock;
        this.listLagMs = options.listLagMs ?? DEFAULT_LIST_LAG_MS;
    }

    /** Newest revision. */
    public get revision(): number {
        return this.rules.version;
    }

    /**
     * Publishes rules.
     *
     * @param bytes - the file
     * @returns its revision
     */
    public publish(bytes: Uint8Array): Revision {
        this.rules.set(bytes, this.rules.version + 1);
        this.history.set(this.rules.version, bytes);
        return branded<Revision>(this.rules.version);
    }

    /**
     * Falls back to an earlier value.
     *
     * @param rules - what readers see while the mode is `stale`
     */
    public becomeStale(rules: PublishedRules): void {
        this.staleRules = rules;
        this.mode = "stale";
    }

    /**
     * Falls back to a revision that was published.
     *
     * @param revision - its number; an unknown one is as if nothing had been published
     */
    public turnBack(revision: number): void {
        const bytes = this.history.get(revision);
        this.staleRules = bytes && { revision: branded<Revision>(revision), bytes };
        this.mode = "stale";
    }

    /**
     * Changes the instance list after its lag.
     *
     * @param instances - the new list
     */
    public setInstances(instances: readonly ListedInstance[]): void {
        this.clock.setTimer(this.listLagMs, () => this.list.set(instances, this.list.version + 1));
    }

    /** {@inheritDoc @magnolialock/control#Platform.watchRules} */
    public async watchRules(
        known: Revision | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PublishedRules | undefined> {
        this.count();
        if (known !== undefined && this.readRules()?.revision === known) {
            using deadline = timeoutSignal(this.clock, waitMs, signal);
            await this.rules.waitForChange(deadline.signal);
            this.requireUp();
        }
        const published = this.readRules();
        return published?.revision === known ? undefined : published;
    }

    /** {@inheritDoc @magnolialock/control#Platform.watchInstances} */
    public async watchInstances(
        known: number | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PublishedInstances | undefined> {
        this.count();
        if (known !== undefined && this.list.version === known) {
            using deadline = timeoutSignal(this.clock, waitMs, signal);
            await this.list.waitForChange(deadline.signal);
            this.requireUp();
        }
        return this.list.version === known
            ? undefined
            : { index: this.list.version, instances: this.list.value };
    }

    private count(): void {
        this.callTimesMs.push(this.clock.nowMs());
        this.requireUp();
    }

    private requireUp(): void {
        if (this.mode === "down") {
            throw new UnreachableError("the platform is down");
        }
    }

    private readRules(): PublishedRules | undefined {
        if (this.mode === "stale") {
            return this.staleRules;
        }
        const { value, version } = this.rules;
        return value === undefined ? undefined : { revision: branded<Revision>(version), bytes: value };
    }
}
