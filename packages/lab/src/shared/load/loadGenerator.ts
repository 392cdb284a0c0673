/**
 * Open-loop load on a virtual fleet: Poisson arrivals for each client account, independent of the answers.
 *
 * @packageDocumentation
 */

import { nextExponential, type RandomSource } from "@magnolialock/kernel";
import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import type { CallKind, CallRecord } from "./callRecord.ts";
import { type PlannedCall, sendCall } from "./sendCall.ts";

/** Arrival rates of one client account. */
export interface AccountLoad {
    /** Name of the account. */
    readonly account: string;
    /** Drafts per second. */
    readonly draftsPerS: number;
    /** Bookings per second. */
    readonly bookingsPerS: number;
    /** Status reads per second. */
    readonly statusReadsPerS: number;
}

/** Request lengths and timeouts of the load. */
export interface LoadMix {
    /** Least number of tokens of a draft. */
    readonly minTokens: number;
    /** Greatest number of tokens of a draft. */
    readonly maxTokens: number;
    /** Draft lengths are multiples of this number of tokens, which divides both bounds. */
    readonly tokensPerBatch: number;
    /** Length of a prompt, in characters. */
    readonly promptCharacters: number;
    /** Number of distinct prompt prefixes of each account. */
    readonly prefixesPerAccount: number;
    /** Caller's timeout for a draft, in milliseconds. */
    readonly draftTimeoutMs: number;
    /** Caller's timeout for a booking or status read, in milliseconds. */
    readonly plainTimeoutMs: number;
}

/** Default load: drafts of about a hundred words whose prompts share prefixes. */
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
    /** Fleet that receives the load. */
    readonly fleet: VirtualFleet;
    /** Shape of the fleet. */
    readonly shape: FleetShape;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /** Request lengths and timeouts. */
    readonly mix?: LoadMix;
}

const PREFIX_CHARACTERS = 64;
const MS_PER_SECOND = 1_000;

/** Sends requests and records them as their callers observe them. */
export class LoadGenerator {
    /** All requests sent so far. */
    public readonly records: CallRecord[] = [];
    private readonly fleet: VirtualFleet;
    private readonly shape: FleetShape;
    private readonly random: RandomSource;
    private readonly mix: LoadMix;
    private pendingCalls = 0;
    private nextRequestNumber = 1;

    /** @param options - fleet, its shape, random source and request mix */
    public constructor(options: LoadGeneratorOptions) {
        this.fleet = options.fleet;
        this.shape = options.shape;
        this.random = options.random;
        this.mix = options.mix ?? DEFAULT_MIX;
    }

    /** Number of requests that have not ended yet. */
    public get unanswered(): number {
        return this.pendingCalls;
    }

    /**
     * Schedules requests for a period that starts now.
     *
     * @param accounts - arrival rates by account
     * @param durationMs - length of the period, in milliseconds of virtual time
     */
    public start(accounts: readonly AccountLoad[], durationMs: number): void {
        const endMs = this.fleet.clock.nowMs() + durationMs;
        for (const { account, draftsPerS, bookingsPerS, statusReadsPerS } of accounts) {
            this.scheduleArrival(account, "draft", draftsPerS, endMs);
            this.scheduleArrival(account, "booking", bookingsPerS, endMs);
            this.scheduleArrival(account, "status", statusReadsPerS, endMs);
        }
    }

    private scheduleArrival(account: string, kind: CallKind, ratePerS: number, endMs: number): void {
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
            this.scheduleArrival(account, kind, ratePerS, endMs);
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
            this.createCall(account, kind, dataCentre),
        );
        this.records.push(record);
        this.pendingCalls++;
        void ended.then(() => this.pendingCalls--);
    }

    /**
     * Like the platform's load balancer, picks a random entry of the data centre among those that are ready.
     */
    private pickEntry(dataCentre: string): string {
        const readyEntries = [...this.fleet.entries.values()]
            .filter(({ dataCentre: entryDataCentre, entry }) =>
                entryDataCentre === dataCentre && entry.isReady
            )
            .map(({ name }) => name);
        return readyEntries[this.random.nextInt(0, Math.max(0, readyEntries.length - 1))]
            ?? `entry-${dataCentre}-1`;
    }

    /** Draws a multiple of the engines' batch: the tokens of a partial batch would be measured as slow. */
    private drawTokenCount(): number {
        const { minTokens, maxTokens, tokensPerBatch } = this.mix;
        return tokensPerBatch * this.random.nextInt(minTokens / tokensPerBatch, maxTokens / tokensPerBatch);
    }

    private createCall(account: string, kind: CallKind, dataCentre: string): PlannedCall {
        const { random, mix } = this;
        const requestId = `${kind}-${this.nextRequestNumber++}`;
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
            tokens: isDraft ? this.drawTokenCount() : 0,
            timeoutMs: isDraft ? mix.draftTimeoutMs : mix.plainTimeoutMs,
        };
    }
}
