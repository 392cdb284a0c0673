/**
 * Open-loop load on a virtual fleet: Poisson arrivals by client account, whatever the fleet answers.
 *
 * @packageDocumentation
 */

import { nextExponential, type RandomSource } from "@magnolialock/kernel";
import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import { type PlannedCall, sendCall } from "./caller.ts";
import type { CallKind, CallRecord } from "./callRecord.ts";

/** Arrivals of one account. */
export interface AccountLoad {
    /** Its name. */
    readonly account: string;
    /** Drafts per second. */
    readonly draftsPerS: number;
    /** Bookings per second. */
    readonly bookingsPerS: number;
    /** Status reads per second. */
    readonly statusReadsPerS: number;
}

/** Lengths and times of the load. */
export interface LoadMix {
    /** Fewest tokens of a draft. */
    readonly minTokens: number;
    /** Most tokens of a draft. */
    readonly maxTokens: number;
    /** Lengths are multiples of this; it divides both bounds. */
    readonly tokensPerBatch: number;
    /** Characters of a prompt. */
    readonly promptCharacters: number;
    /** Prompt prefixes of each account. */
    readonly prefixesPerAccount: number;
    /** Time that a caller waits for a draft, in milliseconds. */
    readonly draftTimeoutMs: number;
    /** Time that a caller waits for a booking or status read, in milliseconds. */
    readonly plainTimeoutMs: number;
}

/** Drafts of some hundred words with prompts that share their first part. */
export const DEFAULT_MIX: LoadMix = {
    minTokens: 64,
    maxTokens: 192,
    tokensPerBatch: 4,
    promptCharacters: 600,
    prefixesPerAccount: 8,
    draftTimeoutMs: 20_000,
    plainTimeoutMs: 2_000,
};

/** Options of a {@link LoadGenerator}. */
export interface LoadGeneratorOptions {
    /** Fleet to load. */
    readonly fleet: VirtualFleet;
    /** Its size. */
    readonly shape: FleetShape;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Lengths and times. */
    readonly mix?: LoadMix;
}

const PREFIX_CHARACTERS = 64;
const MS_PER_SECOND = 1_000;

/** Sends requests and keeps what their callers saw. */
export class LoadGenerator {
    /** All requests so far. */
    public readonly records: CallRecord[] = [];
    private readonly fleet: VirtualFleet;
    private readonly shape: FleetShape;
    private readonly random: RandomSource;
    private readonly mix: LoadMix;
    private pending = 0;
    private nextNumber = 1;

    /** @param options - fleet, size and random numbers */
    public constructor(options: LoadGeneratorOptions) {
        this.fleet = options.fleet;
        this.shape = options.shape;
        this.random = options.random;
        this.mix = options.mix ?? DEFAULT_MIX;
    }

    /** Requests whose callers still wait. */
    public get unanswered(): number {
        return this.pending;
    }

    /**
     * Loads the fleet for a time.
     *
     * @param accounts - arrivals of each account
     * @param durationMs - how long, in milliseconds of virtual time
     */
    public start(accounts: readonly AccountLoad[], durationMs: number): void {
        const endMs = this.fleet.clock.nowMs() + durationMs;
        for (const { account, draftsPerS, bookingsPerS, statusReadsPerS } of accounts) {
            this.arrive(account, "draft", draftsPerS, endMs);
            this.arrive(account, "booking", bookingsPerS, endMs);
            this.arrive(account, "status", statusReadsPerS, endMs);
        }
    }

    private arrive(account: string, kind: CallKind, ratePerS: number, endMs: number): void {
        if (ratePerS <= 0) {
            return;
        }
        const { clock } = this.fleet;
        const delayMs = nextExponential(this.random, MS_PER_SECOND / ratePerS);
        if (clock.nowMs() + delayMs >= endMs) {
            return;
        }
        clock.setTimer(delayMs, () => {
            this.send(account, kind);
            this.arrive(account, kind, ratePerS, endMs);
        });
    }

    private send(account: string, kind: CallKind): void {
        const { dataCentres } = this.shape;
        const dataCentre = dataCentres[this.random.nextInt(0, dataCentres.length - 1)] as string;
        const entryName = this.pickEntry(dataCentre);
        const { record, ended } = sendCall(
            this.fleet,
            this.shape,
            entryName,
            this.plan(account, kind, dataCentre),
        );
        this.records.push(record);
        this.pending++;
        void ended.then(() => this.pending--);
    }

    /** The platform's balancer sends to any entry of the data centre that says it is ready. */
    private pickEntry(dataCentre: string): string {
        const names = [...this.fleet.entries.values()]
            .filter(({ dataCentre: place, entry }) => place === dataCentre && entry.isReady)
            .map(({ name }) => name);
        return names[this.random.nextInt(0, Math.max(0, names.length - 1))] ?? `entry-${dataCentre}-1`;
    }

    /** Whole batches of the engines: a part of a batch would look like a slow token. */
    private drawTokens(): number {
        const { minTokens, maxTokens, tokensPerBatch } = this.mix;
        return tokensPerBatch * this.random.nextInt(minTokens / tokensPerBatch, maxTokens / tokensPerBatch);
    }

    private plan(account: string, kind: CallKind, dataCentre: string): PlannedCall {
        const { random, mix } = this;
        const requestId = `${kind}-${this.nextNumber++}`;
        const prefix = `${account} template ${random.nextInt(1, mix.prefixesPerAccount)} `.padEnd(
            PREFIX_CHARACTERS,
            "-",
        );
        const isDraft = kind === "draft";
        return {
            requestId,
            kind,
            account,
            dataCentre,
            prompt: isDraft ? `${prefix}${requestId} `.padEnd(mix.promptCharacters, "x") : "",
            tokens: isDraft ? this.drawTokens() : 0,
            timeoutMs: isDraft ? mix.draftTimeoutMs : mix.plainTimeoutMs,
        };
    }
}
