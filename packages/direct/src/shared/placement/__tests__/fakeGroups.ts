/**
 * A small fake of entries and of groups of model servers whose ranks run passes in lock-step, on virtual time. The
 * decisions are those of the product; callers do not retry, and an entry refuses a request that has waited for half of
 * its target time.
 */

import {
    type Address,
    type BackendServerId,
    branded,
    type Clock,
    createRandomSource,
    type DataCentreId,
    nextExponential,
    type RandomSource,
    type ServiceName,
} from "@magnolialock/kernel";
import TinyQueue from "tinyqueue";
import { concurrencyLimit } from "../../concurrencyLimit.ts";
import { TrackedServer } from "../../trackedServer.ts";
import { maxReadTokens, readMs } from "../passModel.ts";
import type { FakeCall, FakeFigures, FakeKind, FakeOptions, FakePolicy, FakeResult } from "./fakeTypes.ts";

interface Rank {
    readonly queue: FakeRun[];
    readonly running: Set<FakeRun>;
}

interface FakeRun {
    readonly call: FakeCall;
    readonly onEvent: (isLast: boolean) => void;
}

interface FakeGroup {
    readonly ranks: readonly Rank[];
    isIdle: boolean;
}

export const GAP_TARGET_MS = 120;
const REPORT_MS = 200;
const LIMIT_REFRESH_MS = 400;
const NETWORK_MS = 1;
const JITTER_MS = 3;
const MIN_PROMPT = 60;
const MAX_PROMPT = 2_900;
/** Skew grows this share of the work. */
const EXPERT_SHARE = 0.85;
const OUTPUT_WEIGHT = 10;

const sizeOf = ({ answer, prompt }: FakeCall): number => prompt + OUTPUT_WEIGHT * answer;

const isInTime = (call: FakeCall): boolean =>
    call.isDone && call.firstMs !== undefined && call.firstMs - call.arrivedMs <= call.kind.targetMs
    && call.longestPauseMs <= GAP_TARGET_MS;

class Fleet {
    public nowMs = 0;
    private readonly timers = new TinyQueue<{ atMs: number; order: number; run: () => void; }>(
        [],
        (left, right) => left.atMs - right.atMs || left.order - right.order,
    );
    private order = 0;
    private readonly groups: readonly FakeGroup[];
    public readonly passes: number[] = [];

    public constructor(public readonly options: FakeOptions, public readonly random: RandomSource) {
        const { groups, ranks } = options;
        this.groups = Array.from({ length: groups }, () => ({
            isIdle: true,
            ranks: Array.from({ length: ranks }, () => ({ queue: [], running: new Set<FakeRun>() })),
        }));
    }

    public at(atMs: number, run: () => void): void {
        this.timers.push({ atMs, order: this.order++, run });
    }

    public runUntil(endMs: number): void {
        for (let next = this.timers.pop(); next && next.atMs <= endMs; next = this.timers.pop()) {
            this.nowMs = next.atMs;
            next.run();
        }
    }

    public delay(): number {
        return NETWORK_MS + this.random.nextFloat() * JITTER_MS;
    }

    public arrive(server: number, run: FakeRun): void {
        const { ranks } = this.options;
        const group = this.groups[Math.floor(server / ranks)]!;
        group.ranks[server % ranks]!.queue.push(run);
        if (group.isIdle) {
            this.startPass(group);
        }
    }

    /** Admits requests to the slots, and runs a pass: as long as that of the slowest rank. */
    private startPass(group: FakeGroup): void {
        const { skew, slots, timing } = this.options;
        let longestMs = 0;
        const finished: FakeRun[] = [];
        const stepped: FakeRun[] = [];
        for (const { queue, running } of group.ranks) {
            queue.sort((left, right) => left.call.kind.priority - right.call.kind.priority);
            while (queue.length > 0 && running.size < slots) {
                running.add(queue.shift()!);
            }
            if (running.size === 0) {
                continue;
            }
            const generating = [...running].filter(({ call }) => call.unread === 0);
            const context = generating.reduce((sum, { call }) => sum + call.prompt + call.produced, 0);
            let room = maxReadTokens(timing);
            let readingMs = 0;
            for (const run of running) {
                const tokens = Math.min(room, run.call.unread);
                room -= tokens;
                readingMs += tokens > 0 ? readMs(timing, tokens) : 0;
                if (run.call.unread > 0 && run.call.unread === tokens) {
                    finished.push(run);
                }
                run.call.unread -= tokens;
            }
            stepped.push(...generating);
            const stepMs = timing.stepMs + generating.length * timing.perRequestMs
                + context / 1_000 * timing.perThousandContextMs;
            longestMs = Math.max(
                longestMs,
                stepMs * (generating.length > 0 ? timing.stepsPerPass : 1) + readingMs,
            );
        }
        group.isIdle = longestMs === 0;
        if (group.isIdle) {
            return;
        }
        const durationMs = longestMs * (1 - EXPERT_SHARE + EXPERT_SHARE * skew(this.nowMs));
        this.passes.push(durationMs);
        this.at(this.nowMs + durationMs, () => {
            for (const run of stepped) {
                run.call.produced += timing.stepsPerPass;
            }
            for (const run of finished) {
                run.call.produced += 1;
            }
            for (const run of [...stepped, ...finished]) {
                const isLast = run.call.produced >= run.call.answer;
                if (isLast) {
                    group.ranks.forEach(({ running }) => running.delete(run));
                }
                run.onEvent(isLast);
            }
            this.startPass(group);
        });
    }
}

class Entry {
    public readonly servers: readonly TrackedServer[];
    public reported: readonly number[] = [];
    private readonly policy: FakePolicy;
    private readonly waiters = new Set<FakeCall>();
    private running = 0;
    private limit = 0;
    private limitReadMs = Number.NEGATIVE_INFINITY;

    public constructor(private readonly fleet: Fleet) {
        const { options: { groups, policy, ranks, slots }, random } = fleet;
        const clock: Clock = {
            nowMs: () => fleet.nowMs,
            wallMs: () => fleet.nowMs,
            setTimer: () => {
                throw new Error("the fake has no timers for the product");
            },
        };
        this.servers = Array.from({ length: groups * ranks }, (_, index) => {
            const server = new TrackedServer({ clock }, {
                id: branded<BackendServerId>(`server-${index}`),
                service: branded<ServiceName>("drafts"),
                address: branded<Address>(`10.0.0.${index}:80`),
                dataCentre: branded<DataCentreId>("here"),
                slots,
                state: "ready",
                bornMs: undefined,
            });
            server.groupName = `group-${Math.floor(index / ranks)}`;
            return server;
        });
        this.policy = policy({ clock, servers: this.servers, random });
    }

    public report(): void {
        this.reported = this.servers.map(({ health }) => health.running);
    }

    public hear(entries: readonly Entry[]): void {
        this.servers.forEach((server, index) => {
            server.peerRunning = entries.reduce(
                (sum, entry) => sum + (entry === this ? 0 : entry.reported[index] ?? 0),
                0,
            );
        });
    }

    public receive(call: FakeCall): void {
        this.waiters.add(call);
        this.dispatch();
        if (this.waiters.has(call)) {
            this.fleet.at(this.fleet.nowMs + call.kind.targetMs / 2, () => {
                call.isRefused = this.waiters.delete(call);
            });
        }
    }

    private currentLimit(): number {
        const { nowMs, options: { entries } } = this.fleet;
        if (nowMs - this.limitReadMs >= LIMIT_REFRESH_MS) {
            this.limitReadMs = nowMs;
            this.limit = concurrencyLimit({
                slots: this.policy.servable(),
                ownRunning: this.servers.reduce((sum, { health }) => sum + health.running, 0),
                peerRunning: this.servers.reduce((sum, { peerRunning }) => sum + peerRunning, 0),
                share: 1 / entries,
            });
        }
        return this.limit;
    }

    private dispatch(): void {
        while (this.waiters.size > 0 && this.running < this.currentLimit()) {
            const [next] = [...this.waiters].sort((left, right) =>
                left.kind.priority - right.kind.priority || right.arrivedMs - left.arrivedMs
            ) as [FakeCall];
            this.waiters.delete(next);
            this.start(next);
        }
    }

    private start(call: FakeCall): void {
        const { fleet, policy } = this;
        const server = policy.choose(call) ?? this.servers[0]!;
        const attempt = server.health.begin();
        this.running++;
        policy.onSent?.(call, server);
        const onEvent = (isLast: boolean): void => {
            fleet.at(fleet.nowMs + fleet.delay(), () => {
                if (call.firstMs === undefined) {
                    call.firstMs = fleet.nowMs;
                    policy.onFirstEvent?.(call, server);
                }
                else {
                    const pauseMs = fleet.nowMs - call.lastMs;
                    call.longestPauseMs = Math.max(call.longestPauseMs, pauseMs);
                    policy.onPause?.(server, pauseMs);
                }
                call.lastMs = fleet.nowMs;
                if (isLast) {
                    call.isDone = true;
                    attempt.end("ended");
                    this.running--;
                    this.dispatch();
                }
            });
        };
        fleet.at(
            fleet.nowMs + NETWORK_MS,
            () => fleet.arrive(this.servers.indexOf(server), { call, onEvent }),
        );
    }
}

const figuresOf = (calls: readonly FakeCall[], meanSize: ReadonlyMap<FakeKind, number>): FakeFigures => {
    let worth = 0;
    let owed = 0;
    for (const call of calls) {
        const weight = Math.min(4, 0.3 + 0.7 * sizeOf(call) / meanSize.get(call.kind)!);
        const [inTime, late] = call.kind.worth;
        owed += weight * inTime;
        worth += weight * (isInTime(call) ? inTime : call.isDone ? late : 0);
    }
    const share = (test: (call: FakeCall) => boolean): number => calls.filter(test).length / calls.length;
    return {
        requests: calls.length,
        inTime: share(isInTime),
        served: share(({ isDone }) => isDone),
        worth: worth / owed,
    };
};

/** Rate that keeps all slots busy, in requests per millisecond. */
const fullRate = ({ groups, kinds, ranks, slots, timing }: FakeOptions): number => {
    const meanPrompt = kinds.reduce((sum, { meanPrompt: prompt, share }) => sum + prompt * share, 0);
    const stepMs = timing.stepMs + slots * timing.perRequestMs
        + slots * (meanPrompt + timing.usualAnswerTokens / 2) / 1_000 * timing.perThousandContextMs;
    const passMs = timing.stepsPerPass * stepMs + readMs(timing, maxReadTokens(timing)) * 0.6;
    const passes = timing.usualAnswerTokens / timing.stepsPerPass + 1.5;
    return groups * ranks * slots / (passes * passMs);
};

/** Prompts and answers are spread exponentially around their means. */
const drawCall = (random: RandomSource, options: FakeOptions, arrivedMs: number): FakeCall => {
    let draw = random.nextFloat();
    const kind = options.kinds.find(({ share }) => (draw -= share) < 0) ?? options.kinds[0]!;
    const prompt = Math.round(
        Math.min(MAX_PROMPT, Math.max(MIN_PROMPT, nextExponential(random, kind.meanPrompt))),
    );
    const mean = options.timing.usualAnswerTokens;
    return {
        kind,
        prompt,
        answer: Math.ceil(Math.min(4 * mean, Math.max(10, nextExponential(random, mean)))),
        arrivedMs,
        firstMs: undefined,
        lastMs: arrivedMs,
        longestPauseMs: 0,
        unread: prompt,
        produced: 0,
        isRefused: false,
        isDone: false,
    };
};

/**
 * Runs a replay.
 *
 * @param options - fleet, load and decisions
 */
export const replay = (options: FakeOptions): FakeResult => {
    const fleet = new Fleet(options, createRandomSource(options.seed));
    const load = createRandomSource(options.seed + 1_000);
    const entries = Array.from({ length: options.entries }, () => new Entry(fleet));
    entries.forEach((entry, index) => {
        const exchange = (): void => {
            entry.report();
            entry.hear(entries);
            fleet.at(fleet.nowMs + REPORT_MS, exchange);
        };
        fleet.at(index / entries.length * REPORT_MS, exchange);
    });
    const calls: FakeCall[] = [];
    const meanMs = 1 / (options.load * fullRate(options));
    for (let atMs = 0; atMs < options.durationMs; atMs += nextExponential(load, meanMs)) {
        const call = drawCall(load, options, atMs);
        const entry = entries[load.nextInt(0, entries.length - 1)]!;
        calls.push(call);
        fleet.at(atMs, () => entry.receive(call));
    }
    fleet.runUntil(options.durationMs + 20_000);
    const counted = calls.filter(({ arrivedMs }) => arrivedMs > 3_000);
    const meanSize = new Map(options.kinds.map(kind => {
        const sizes = calls.filter(call => call.kind === kind).map(sizeOf);
        return [kind, sizes.reduce((sum, size) => sum + size, 0) / sizes.length];
    }));
    const bySize = [...counted].sort((left, right) => sizeOf(left) - sizeOf(right));
    const part = (from: number, to: number): FakeFigures =>
        figuresOf(bySize.slice(Math.floor(from * bySize.length), Math.floor(to * bySize.length)), meanSize);
    const served = counted.filter(({ isDone }) => isDone);
    const passes = [...fleet.passes].sort((left, right) => left - right);
    return {
        all: figuresOf(counted, meanSize),
        byKind: Object.fromEntries(
            options.kinds.map(kind => [
                kind.name,
                figuresOf(counted.filter(call => call.kind === kind), meanSize),
            ]),
        ),
        shortestHalf: part(0, 0.5),
        fifthBelowLargest: part(0.7, 0.9),
        largestTenth: part(0.9, 1),
        refused: counted.filter(({ isRefused }) => isRefused).length / counted.length,
        longPauses: served.filter(call => call.longestPauseMs > GAP_TARGET_MS).length / served.length,
        lateStarts: served.filter(call => call.firstMs! - call.arrivedMs > call.kind.targetMs).length
            / served.length,
        passMs: [passes[Math.floor(passes.length / 2)]!, passes[Math.floor(passes.length * 0.95)]!],
    };
};
