/**
 * Decides which parts of prompts crash the servers that begin an answer on them, from evidence of all
 * instances.
 *
 * A server that ends takes all its requests with it, so one crash accuses the parts of every request that had
 * not begun there. An answer that is under way clears its parts. A part is quarantined, and requests that hold
 * it are refused, once independent crashes accuse it and few other suspects remain for them. After a while one
 * request is let through to find out whether the part is sound again; each further crash makes that time
 * longer.
 *
 * Verdicts are derived from the evidence alone, so instances that know the same evidence agree, and an
 * instance that has just started needs nothing else.
 *
 * @packageDocumentation
 */

import { type Clock, type EventLog, type RandomSource, shuffled } from "@magnolialock/kernel";
import { LRUCache } from "lru-cache";
import type { CrashNotice, PromptNews } from "../types/peerNews.ts";
import { promptPartCleared, promptPartQuarantined, promptPartTried } from "./directEvents.ts";
import { RecentParts } from "./recentParts.ts";

/** Options of a {@link PromptQuarantine}. */
export interface PromptQuarantineOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /**
     * Tells whether this instance is the one that tries a quarantined part again.
     *
     * @param part - the part
     */
    readonly isTrialInstance: (part: string) => boolean;
}

/** A crash that ended a request before its answer was under way. */
export interface CrashReport {
    /** Key of the attempt. */
    readonly id: number;
    /** Key of the server's process. */
    readonly server: number;
    /** Time of the crash, in milliseconds. */
    readonly crashedMs: number;
    /** Time at which the request was sent, in milliseconds. */
    readonly sentMs: number;
    /** Time of the last answer that the group of the server had begun, in milliseconds. */
    readonly servedMs: number;
    /** Shared parts of the prompt. */
    readonly parts: readonly string[];
}

/** Whether a request may be sent. */
export type QuarantineDecision =
    /** None of its parts is in quarantine. */
    | { readonly kind: "free"; }
    /** It finds out whether a part in quarantine is sound again. */
    | { readonly kind: "trial"; }
    /** It must not be sent. */
    | {
        readonly kind: "refused";
        /** The part in quarantine. */
        readonly part: string;
        /** Time until the part may be tried again, in milliseconds. */
        readonly retryAfterMs: number;
    };

interface Verdict {
    readonly crashes: number;
    readonly untilMs: number;
    /** Parts that each accusing request held, this one included; one of them is to blame. */
    readonly jointParts: readonly string[];
}

/** Independent crashes that put a part into quarantine. */
const CRASHES_TO_QUARANTINE = 2;
/** The same for a part that was sound before: it may be accused by chance. */
const CRASHES_OF_SOUND_PART = 3;
/**
 * Blame that a part needs for each of these crashes: its share among the requests that remain suspects. Servers that
 * end together leave many suspects, and each of them little evidence.
 */
const MIN_BLAME_SHARE = 0.75;
/** Servers that end within this time are treated as one crash with all their suspects, in milliseconds. */
const SAME_MOMENT_MS = 250;
/**
 * Share of the requests above which a part is never quarantined: each crash accuses what most requests hold, and
 * to refuse them all is no better than the crashes.
 */
const MAX_QUARANTINED_SHARE = 0.3;
/** Notices of one server whose crash times differ by less belong to one crash, in milliseconds. */
const SAME_CRASH_MS = 1_500;
/** Time until a part in quarantine is tried again after the crash that put it there, in milliseconds. */
const FIRST_TRIAL_AFTER_MS = 600_000;
/** Time for which only one instance may try a part; after it any may, in milliseconds. */
const SINGLE_TRIAL_MS = 10_000;
/** Factor by which each further crash makes that time longer: a trial costs a server. */
const TRIAL_BACKOFF = 4;
const MAX_TRIAL_AFTER_MS = 86_400_000;
/** Time for which a trial may take to show a result, in milliseconds. */
const TRIAL_TIMEOUT_MS = 10_000;
/** Time after which evidence that led to no verdict is forgotten, in milliseconds. */
const EVIDENCE_LIFETIME_MS = 1_800_000;
/** Maximum number of crash reports; the crashes of a whole data centre need fewer. */
const MAX_REPORTS = 128;
/** Maximum number of parts whose latest sound answer is remembered. */
const MAX_SOUND_PARTS = 4_096;
/** Maximum number of parts in one instance's notices about sound answers. */
const MAX_SOUND_NOTICES = 128;
/** Notices of each kind in a sample. */
const SAMPLE_SIZE = 3;

/** Evidence and verdicts about the parts of prompts. */
export class PromptQuarantine {
    private readonly options: PromptQuarantineOptions;
    private readonly reports = new Map<number, CrashReport>();
    private readonly soundMs = new LRUCache<string, number>({ max: MAX_SOUND_PARTS });
    private readonly soundNoticeMs = new LRUCache<string, number>({ max: MAX_SOUND_NOTICES });
    private readonly recent = new RecentParts();
    private readonly trialMs = new LRUCache<string, number>({ max: MAX_REPORTS });
    private readonly freshReports = new Set<number>();
    private readonly freshSound = new Set<string>();
    private accusations = new Map<string, CrashReport[]>();
    private verdicts = new Map<string, Verdict>();
    private listener: () => void = () => {};

    /** @param options - clock, log and trials */
    public constructor(options: PromptQuarantineOptions) {
        this.options = options;
    }

    /** Parts in quarantine. */
    public get parts(): readonly string[] {
        return [...this.verdicts.keys()].filter(part => this.recent.shareOf(part) <= MAX_QUARANTINED_SHARE);
    }

    /** Number of crash reports that are remembered. */
    public get reportCount(): number {
        return this.reports.size;
    }

    /**
     * Records that a request has arrived.
     *
     * @param parts - shared parts of its prompt
     */
    public recordRequest(parts: readonly string[]): void {
        if (parts.length > 0) {
            this.recent.record(parts);
        }
    }

    /**
     * Decides whether a request may be sent. A request that is let through as a trial uses the trial up.
     *
     * @param parts - shared parts of its prompt
     */
    public check(parts: readonly string[]): QuarantineDecision {
        const nowMs = this.options.clock.nowMs();
        let kind: "free" | "trial" = "free";
        for (const part of this.verdicts.size > 0 ? parts : []) {
            const verdict = this.verdicts.get(part);
            if (!verdict?.jointParts.every(joint => parts.includes(joint))) {
                continue;
            }
            if (this.recent.shareOf(part) > MAX_QUARANTINED_SHARE) {
                continue;
            }
            if (nowMs < verdict.untilMs || !this.takeTrial(part, verdict)) {
                const retryAfterMs = Math.max(TRIAL_TIMEOUT_MS, verdict.untilMs - nowMs);
                return { kind: "refused", part, retryAfterMs };
            }
            kind = "trial";
        }
        return { kind };
    }

    /**
     * Tells whether an answer has been under way on each of the parts before a crash, and no earlier crash accuses
     * them.
     *
     * @param parts - shared parts of a prompt
     * @param crashedMs - time of the crash, in milliseconds
     */
    public areKnownSound(parts: readonly string[], crashedMs: number): boolean {
        const isAccusedBefore = (part: string): boolean =>
            this.accusations.get(part)?.some(report => crashedMs - report.crashedMs >= SAME_CRASH_MS)
                ?? false;
        return parts.every(part => this.soundMs.has(part) && !isAccusedBefore(part));
    }

    /**
     * Records an answer that is under way.
     *
     * @param parts - shared parts of its prompt
     */
    public recordSound(parts: readonly string[]): void {
        const nowMs = this.options.clock.nowMs();
        const cleared = parts.filter(part => this.applySound(part, nowMs));
        if (cleared.length > 0) {
            this.derive();
            this.listener();
        }
    }

    /**
     * Records that a server ended before the answer to one of this instance's requests was under way.
     *
     * @param report - the evidence
     */
    public recordCrash(report: CrashReport): void {
        if (this.insert(report)) {
            this.derive();
            this.listener();
        }
    }

    /** {@inheritDoc NewsSource.takeFresh} */
    public takeFresh(): PromptNews {
        const news = this.newsOf(
            [...this.freshReports].flatMap(id => this.reports.get(id) ?? []),
            [...this.freshSound],
        );
        this.freshReports.clear();
        this.freshSound.clear();
        return news;
    }

    /** {@inheritDoc NewsSource.allNews} */
    public allNews(): PromptNews {
        return this.newsOf([...this.reports.values()], [...this.soundNoticeMs.keys()]);
    }

    /** {@inheritDoc NewsSource.sampleNews} */
    public sampleNews(): PromptNews {
        const { random } = this.options;
        const sample = <T>(items: Iterable<T>): T[] => shuffled(random, [...items]).slice(0, SAMPLE_SIZE);
        return this.newsOf(sample(this.reports.values()), sample(this.soundNoticeMs.keys()));
    }

    /** {@inheritDoc NewsSource.applyNews} */
    public applyNews({ crashes, soundParts }: PromptNews): void {
        const nowMs = this.options.clock.nowMs();
        let hasChanged = false;
        for (const [part, ageMs] of soundParts) {
            hasChanged = this.applySound(part, nowMs - ageMs) || hasChanged;
        }
        for (const notice of crashes) {
            hasChanged = this.insert(toReport(notice, nowMs)) || hasChanged;
        }
        if (hasChanged) {
            this.derive();
            this.listener();
        }
    }

    /** {@inheritDoc NewsSource.onFreshNews} */
    public onFreshNews(listener: () => void): void {
        this.listener = listener;
    }

    /** Returns whether the answer cleared the part of an accusation. */
    private applySound(part: string, atMs: number): boolean {
        if (atMs > (this.soundMs.get(part) ?? Number.NEGATIVE_INFINITY)) {
            this.soundMs.set(part, atMs);
        }
        const accusing = this.accusations.get(part)?.filter(({ crashedMs }) => crashedMs <= atMs) ?? [];
        for (const report of accusing) {
            this.replaceParts(report, report.parts.filter(other => other !== part));
        }
        if (accusing.length > 0) {
            this.soundNoticeMs.set(part, atMs);
            this.freshSound.add(part);
        }
        return accusing.length > 0;
    }

    private insert(report: CrashReport): boolean {
        const known = this.reports.get(report.id);
        const parts = report.parts.filter(part =>
            (this.soundMs.get(part) ?? Number.NEGATIVE_INFINITY) < report.crashedMs
            // An instance that left a part out has heard of a sound answer.
            && (known === undefined || known.parts.includes(part))
        );
        if (known) {
            if (parts.length === known.parts.length) {
                return false;
            }
            this.replaceParts(known, parts);
            return true;
        }
        if (parts.length === 0) {
            return false;
        }
        this.reports.set(report.id, { ...report, parts });
        this.freshReports.add(report.id);
        this.vouch(parts);
        return true;
    }

    /** Tells the others which of the accused parts were sound before. */
    private vouch(parts: readonly string[]): void {
        for (const part of parts) {
            const soundMs = this.soundMs.peek(part);
            if (soundMs !== undefined && !this.soundNoticeMs.has(part)) {
                this.soundNoticeMs.set(part, soundMs);
                this.freshSound.add(part);
            }
        }
    }

    private replaceParts(report: CrashReport, parts: readonly string[]): void {
        const current = this.reports.get(report.id);
        if (!current) {
            return;
        }
        const remaining = current.parts.filter(part => parts.includes(part));
        if (remaining.length === 0) {
            this.reports.delete(report.id);
        }
        else {
            this.reports.set(report.id, { ...current, parts: remaining });
        }
    }

    /** Derives accusations and verdicts from the evidence, and logs the verdicts that changed. */
    private derive(): void {
        this.dropOldReports();
        this.accusations = new Map();
        for (const report of this.reports.values()) {
            for (const part of report.parts) {
                const accusing = this.accusations.get(part) ?? [];
                this.accusations.set(part, accusing);
                accusing.push(report);
            }
        }
        const previous = this.verdicts;
        this.verdicts = new Map();
        for (const [part, accusing] of this.accusations) {
            const verdict = this.judge(part, accusing);
            if (verdict) {
                this.verdicts.set(part, verdict);
            }
        }
        this.logChanges(previous);
    }

    private judge(part: string, accusing: readonly CrashReport[]): Verdict | undefined {
        const counted = independentCrashes(accusing);
        const crashes = counted.length;
        const last = counted.at(-1);
        const neededCrashes = this.soundMs.has(part) ? CRASHES_OF_SOUND_PART : CRASHES_TO_QUARANTINE;
        if (!last || crashes < neededCrashes) {
            return undefined;
        }
        const blame = counted.reduce((sum, crash) => sum + this.blameFor(part, crash), 0);
        if (blame < neededCrashes * MIN_BLAME_SHARE) {
            return undefined;
        }
        const trialAfterMs = FIRST_TRIAL_AFTER_MS * TRIAL_BACKOFF ** (crashes - neededCrashes);
        return {
            crashes,
            untilMs: last.crashedMs + Math.min(MAX_TRIAL_AFTER_MS, trialAfterMs),
            jointParts: last.parts.filter(joint => accusing.every(({ parts }) => parts.includes(joint))),
        };
    }

    /** Share of the requests with a part among the suspects for a crash. */
    private blameFor(part: string, { crashedMs }: CrashReport): number {
        const suspects = [...this.reports.values()].filter(report =>
            Math.abs(report.crashedMs - crashedMs) < SAME_MOMENT_MS
        );
        return suspects.filter(({ parts }) => parts.includes(part)).length / Math.max(1, suspects.length);
    }

    private logChanges(previous: ReadonlyMap<string, Verdict>): void {
        const { clock, events } = this.options;
        for (const [part, { crashes, jointParts, untilMs }] of this.verdicts) {
            if (previous.get(part)?.crashes !== crashes) {
                const accusing = this.accusations.get(part) ?? [];
                events.emit(promptPartQuarantined, {
                    part,
                    crashes,
                    jointParts: jointParts.join(" "),
                    evidence: accusing.map(({ id }) => id.toString(16)).join(" "),
                    evidenceAgesMs: accusing.map(({ crashedMs }) => Math.round(clock.nowMs() - crashedMs))
                        .join(" "),
                    forMs: Math.round(untilMs - clock.nowMs()),
                });
            }
        }
        for (const [part, { crashes }] of previous) {
            if (!this.verdicts.has(part)) {
                const soundMs = this.soundMs.get(part);
                events.emit(promptPartCleared, {
                    part,
                    crashes,
                    soundAgeMs: soundMs === undefined ? undefined : Math.round(clock.nowMs() - soundMs),
                });
            }
        }
    }

    private dropOldReports(): void {
        const nowMs = this.options.clock.nowMs();
        const isInVerdict = ({ parts }: CrashReport): boolean => parts.some(part => this.verdicts.has(part));
        const isOutdated = (report: CrashReport): boolean =>
            report.parts.every(part => {
                const keptUntilMs = this.verdicts.get(part)?.untilMs ?? report.crashedMs;
                return nowMs > keptUntilMs + EVIDENCE_LIFETIME_MS;
            });
        for (const report of this.reports.values()) {
            if (isOutdated(report)) {
                this.reports.delete(report.id);
            }
        }
        const oldestFirst = [...this.reports.values()].sort((left, right) =>
            Number(isInVerdict(left)) - Number(isInVerdict(right)) || left.crashedMs - right.crashedMs
        );
        for (const { id } of oldestFirst.slice(0, Math.max(0, this.reports.size - MAX_REPORTS))) {
            this.reports.delete(id);
        }
    }

    private takeTrial(part: string, { untilMs }: Verdict): boolean {
        const nowMs = this.options.clock.nowMs();
        const lastMs = this.trialMs.get(part) ?? Number.NEGATIVE_INFINITY;
        const isItsTurn = nowMs > untilMs + SINGLE_TRIAL_MS || this.options.isTrialInstance(part);
        if (nowMs < lastMs + TRIAL_TIMEOUT_MS || !isItsTurn) {
            return false;
        }
        this.trialMs.set(part, nowMs);
        this.options.events.emit(promptPartTried, { part, sinceDueMs: Math.round(nowMs - untilMs) });
        return true;
    }

    private newsOf(reports: readonly CrashReport[], soundParts: readonly string[]): PromptNews {
        const nowMs = this.options.clock.nowMs();
        return {
            crashes: reports.map(report => toNotice(report, nowMs)),
            soundParts: new Map(soundParts.flatMap(part => {
                const soundMs = this.soundNoticeMs.peek(part);
                return soundMs === undefined ? [] : [[part, nowMs - soundMs]];
            })),
        };
    }
}

const toNotice = (
    { crashedMs, id, parts, sentMs, servedMs, server }: CrashReport,
    nowMs: number,
): CrashNotice => ({
    id,
    server,
    ageMs: nowMs - crashedMs,
    sentBeforeMs: crashedMs - sentMs,
    servedBeforeMs: crashedMs - servedMs,
    parts,
});

const toReport = (notice: CrashNotice, nowMs: number): CrashReport => {
    const crashedMs = nowMs - notice.ageMs;
    return {
        id: notice.id,
        server: notice.server,
        crashedMs,
        sentMs: crashedMs - notice.sentBeforeMs,
        servedMs: crashedMs - notice.servedBeforeMs,
        parts: notice.parts,
    };
};

/**
 * Selects the crashes that accuse a part independently of each other. Servers that end together, for instance
 * with their data centre, take many popular parts with them; such crashes count as one. A later one counts only
 * if its request was sent, and its group had begun answers again, after the earlier one.
 */
const independentCrashes = (accusing: readonly CrashReport[]): CrashReport[] => {
    const counted: CrashReport[] = [];
    for (const report of [...accusing].sort((left, right) => left.crashedMs - right.crashedMs)) {
        const last = counted.at(-1);
        const isSameCrash = last?.server === report.server
            && report.crashedMs - last.crashedMs < SAME_CRASH_MS;
        if (!last || !isSameCrash && report.sentMs > last.crashedMs && report.servedMs > last.crashedMs) {
            counted.push(report);
        }
    }
    return counted;
};
