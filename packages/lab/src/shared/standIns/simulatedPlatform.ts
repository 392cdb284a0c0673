/**
 * Simulated platform: published rules and an instance list that lags, both of which can be read and watched.
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

/** State of the platform: `stale` serves old rules, `down` fails every call. */
export type PlatformMode = "up" | "stale" | "down";

/** Options of a {@link SimulatedPlatform}. */
export interface SimulatedPlatformOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Delay until a change shows in the instance list, in milliseconds. */
    readonly listLagMs?: number;
}

const DEFAULT_LIST_LAG_MS = 5_000;

/** A versioned value whose changes readers can wait for. */
class WatchedValue<T> {
    private watchers = new Set<() => void>();

    public constructor(public value: T, public version: number) {}

    public set(value: T, version: number): void {
        this.value = value;
        this.version = version;
        const { watchers } = this;
        this.watchers = new Set();
        for (const notify of watchers) {
            notify();
        }
    }

    public waitForChange(signal: AbortSignal): Promise<void> {
        const { promise, resolve } = createDeferred<void>();
        this.watchers.add(resolve);
        signal.addEventListener("abort", () => {
            this.watchers.delete(resolve);
            resolve();
        }, { once: true });
        return promise;
    }
}

/** Configuration service and instance list of the platform. */
export class SimulatedPlatform implements Platform {
    /** Times of all calls, in milliseconds, to measure the call rate. */
    public readonly callTimesMs: number[] = [];
    /** How the platform currently answers. */
    public mode: PlatformMode = "up";
    private readonly clock: Clock;
    private readonly listLagMs: number;
    private readonly rules = new WatchedValue<Uint8Array | undefined>(undefined, 0);
    private readonly instanceList = new WatchedValue<readonly ListedInstance[]>([], 0);
    private readonly publishedBytes = new Map<number, Uint8Array>();
    private staleRules: PublishedRules | undefined;

    /** @param options - clock and lag of the instance list */
    public constructor(options: SimulatedPlatformOptions) {
        this.clock = options.clock;
        this.listLagMs = options.listLagMs ?? DEFAULT_LIST_LAG_MS;
    }

    /** Latest published revision; 0 before the first one. */
    public get revision(): number {
        return this.rules.version;
    }

    /**
     * Publishes a rule file as the next revision.
     *
     * @param bytes - content of the rule file
     * @returns revision of the rules
     */
    public publish(bytes: Uint8Array): Revision {
        this.rules.set(bytes, this.rules.version + 1);
        this.publishedBytes.set(this.rules.version, bytes);
        return branded<Revision>(this.rules.version);
    }

    /**
     * Returns from an older copy: later revisions are lost and given out again.
     *
     * @param revision - revision at which the copy was made
     */
    public restore(revision: number): void {
        this.rules.set(this.publishedBytes.get(revision), revision);
    }

    /**
     * Serves the given rules instead of the latest ones until the mode changes.
     *
     * @param rules - rules that readers get while the mode is `stale`
     */
    public serveStaleRules(rules: PublishedRules): void {
        this.staleRules = rules;
        this.mode = "stale";
    }

    /**
     * Serves an earlier revision instead of the latest one until the mode changes.
     *
     * @param revision - number of the revision; with an unknown one the platform answers as if nothing were
     * published
     */
    public serveOldRevision(revision: number): void {
        const bytes = this.publishedBytes.get(revision);
        this.staleRules = bytes && { revision: branded<Revision>(revision), bytes };
        this.mode = "stale";
    }

    /**
     * Replaces the instance list; readers see the new list after the lag.
     *
     * @param instances - the new list
     */
    public setInstances(instances: readonly ListedInstance[]): void {
        this.clock.setTimer(
            this.listLagMs,
            () => this.instanceList.set(instances, this.instanceList.version + 1),
        );
    }

    /** {@inheritDoc @magnolialock/control#Platform.watchRules} */
    public async watchRules(
        known: Revision | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<PublishedRules | undefined> {
        this.recordCall();
        if (known !== undefined && this.readRules()?.revision === known) {
            using deadline = timeoutSignal(this.clock, waitMs, signal);
            await this.rules.waitForChange(deadline.signal);
            this.assertUp();
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
        this.recordCall();
        if (known !== undefined && this.instanceList.version === known) {
            using deadline = timeoutSignal(this.clock, waitMs, signal);
            await this.instanceList.waitForChange(deadline.signal);
            this.assertUp();
        }
        return this.instanceList.version === known
            ? undefined
            : { index: this.instanceList.version, instances: this.instanceList.value };
    }

    private recordCall(): void {
        this.callTimesMs.push(this.clock.nowMs());
        this.assertUp();
    }

    private assertUp(): void {
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
