/** Options and results of the replays on the fake of model servers, see `fakeGroups.ts`. */

import type { Clock, RandomSource } from "@magnolialock/kernel";
import type { EngineTiming } from "../../../types/publishedState.ts";
import type { TrackedServer } from "../../trackedServer.ts";

/** A kind of stream. */
export interface FakeKind {
    readonly name: string;
    readonly priority: number;
    readonly targetMs: number;
    /** Share of the requests. */
    readonly share: number;
    readonly meanPrompt: number;
    readonly worth: readonly [inTime: number, late: number];
}

/** A replay. */
export interface FakeOptions {
    readonly timing: EngineTiming;
    readonly kinds: readonly FakeKind[];
    readonly groups: number;
    readonly ranks: number;
    readonly slots: number;
    readonly entries: number;
    /** Requests in relation to what the slots carry. */
    readonly load: number;
    /** Returns the load of the most loaded rank divided by the mean. */
    readonly skew: (timeMs: number) => number;
    readonly seed: number;
    readonly durationMs: number;
    readonly policy: (entry: FakeEntryView) => FakePolicy;
}

/** What a policy sees of its entry. */
export interface FakeEntryView {
    readonly clock: Clock;
    readonly servers: readonly TrackedServer[];
    readonly random: RandomSource;
}

/** Decisions of an entry. */
export interface FakePolicy {
    servable(): number;
    choose(call: FakeCall): TrackedServer | undefined;
    onSent?(call: FakeCall, server: TrackedServer): void;
    onFirstEvent?(call: FakeCall, server: TrackedServer): void;
    onPause?(server: TrackedServer, pauseMs: number): void;
}

/** A request. */
export interface FakeCall {
    readonly kind: FakeKind;
    readonly prompt: number;
    readonly answer: number;
    readonly arrivedMs: number;
    firstMs: number | undefined;
    lastMs: number;
    longestPauseMs: number;
    unread: number;
    produced: number;
    isRefused: boolean;
    isDone: boolean;
}

/** Result for a set of requests. */
export interface FakeFigures {
    readonly requests: number;
    readonly inTime: number;
    readonly served: number;
    readonly worth: number;
}

/** Result of a replay. */
export interface FakeResult {
    readonly all: FakeFigures;
    readonly byKind: Readonly<Record<string, FakeFigures>>;
    readonly shortestHalf: FakeFigures;
    readonly fifthBelowLargest: FakeFigures;
    readonly largestTenth: FakeFigures;
    readonly refused: number;
    /** Share of the streams with a pause over 120 ms. */
    readonly longPauses: number;
    /** Share of the streams whose first event came late. */
    readonly lateStarts: number;
    /** Quantiles of pass durations, in milliseconds. */
    readonly passMs: readonly [median: number, p95: number];
}
