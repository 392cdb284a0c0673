/**
 * Decides which requests must not be sent, since servers end as they begin to answer them: requests that hold a part
 * of a prompt, or whole requests that their callers send again. The evidence is that of all instances.
 *
 * A server that ends takes all its requests with it, so one crash accuses every request that had not begun there,
 * with the parts of its prompt. An answer that is under way clears both. A suspect is quarantined once independent
 * crashes accuse it and few other suspects remain for them. After a while one request is let through to find out
 * whether it is sound again; each further crash makes that time longer.
 *
 * Verdicts are derived from the evidence alone, so instances that know the same evidence agree, and an
 * instance that has just started needs nothing else.
 *
 * @packageDocumentation
 */

import { type Clock, type EventLog, type RandomSource, shuffled } from "@magnolialock/kernel";
import { LRUCache } from "lru-cache";
import type { CrashNews, CrashNotice } from "../types/peerNews.ts";
import { CrashEvidence, MAX_REPORTS } from "./crashEvidence.ts";
import { type CrashReport, judgeSuspect, type Verdict } from "./crashVerdicts.ts";
import { suspectCleared, suspectQuarantined, suspectTried } from "./directEvents.ts";
import { RecentParts } from "./recentParts.ts";
import { isRequestIdentity } from "./requestIdentity.ts";

/** Options of a {@link CrashQuarantine}. */
export interface CrashQuarantineOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Source of random numbers. */
    readonly random: RandomSource;
    /**
     * Tells whether this instance is the one that tries a quarantined suspect again.
     *
     * @param suspect - the suspect
     */
    readonly isTrialInstance: (suspect: string) => boolean;
}

/** Whether a request may be sent. */
export type QuarantineDecision =
    /** Nothing of it is in quarantine. */
    | { readonly kind: "free"; }
    /** It finds out whether a suspect in quarantine is sound again. */
    | { readonly kind: "trial"; }
    /** It must not be sent. */
    | {
        readonly kind: "refused";
        /** The suspect in quarantine. */
        readonly suspect: string;
        /** Time until the suspect may be tried again, in milliseconds. */
        readonly retryAfterMs: number;
    };

/**
 * Share of the requests above which a part is never quarantined: each crash accuses what most requests hold, and
 * to refuse them all is no better than the crashes.
 */
const MAX_QUARANTINED_SHARE = 0.3;
/** Time for which only one instance may try a suspect; after it any may, in milliseconds. */
const SINGLE_TRIAL_MS = 10_000;
/** Time for which a trial may take to show a result, in milliseconds. */
const TRIAL_TIMEOUT_MS = 10_000;
/** Notices of each kind in a sample. */
const SAMPLE_SIZE = 3;

/** Evidence and verdicts about requests that crash servers. */
export class CrashQuarantine {
    private readonly options: CrashQuarantineOptions;
    private readonly evidence: CrashEvidence;
    private readonly recent = new RecentParts();
    private readonly trialMs = new LRUCache<string, number>({ max: MAX_REPORTS });
    private verdicts = new Map<string, Verdict>();
    private listener: () => void = () => {};

    /** @param options - clock, log and trials */
    public constructor(options: CrashQuarantineOptions) {
        this.options = options;
        this.evidence = new CrashEvidence(options.clock);
    }

    /** Parts of prompts in quarantine. */
    public get parts(): readonly string[] {
        return [...this.verdicts.keys()].filter(suspect =>
            !isRequestIdentity(suspect) && this.recent.shareOf(suspect) <= MAX_QUARANTINED_SHARE
        );
    }

    /** Identities of the whole requests in quarantine. */
    public get requests(): readonly string[] {
        return [...this.verdicts.keys()].filter(isRequestIdentity);
    }

    /** Number of crash reports that are remembered. */
    public get reportCount(): number {
        return this.evidence.reportCount;
    }

    /** Whether a whole request is accused, so that identities of requests matter. */
    public get accusesRequests(): boolean {
        return this.evidence.accusesRequests;
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
     * @param suspects - shared parts of its prompt and its identity
     */
    public check(suspects: readonly string[]): QuarantineDecision {
        const nowMs = this.options.clock.nowMs();
        let kind: "free" | "trial" = "free";
        for (const suspect of this.verdicts.size > 0 ? suspects : []) {
            const verdict = this.verdicts.get(suspect);
            if (!verdict?.jointSuspects.every(joint => suspects.includes(joint))) {
                continue;
            }
            if (this.recent.shareOf(suspect) > MAX_QUARANTINED_SHARE) {
                continue;
            }
            if (nowMs < verdict.untilMs || !this.takeTrial(suspect, verdict)) {
                const retryAfterMs = Math.max(TRIAL_TIMEOUT_MS, verdict.untilMs - nowMs);
                return { kind: "refused", suspect, retryAfterMs };
            }
            kind = "trial";
        }
        return { kind };
    }

    /** {@inheritDoc CrashEvidence.areKnownSound} */
    public areKnownSound(parts: readonly string[], crashedMs: number): boolean {
        return this.evidence.areKnownSound(parts, crashedMs);
    }

    /**
     * Records an answer that is under way.
     *
     * @param suspects - shared parts of its prompt and, if requests are accused, its identity
     */
    public recordSound(suspects: readonly string[]): void {
        const nowMs = this.options.clock.nowMs();
        const cleared = suspects.filter(suspect => this.evidence.applySound(suspect, nowMs));
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
        if (this.evidence.insert(report)) {
            this.derive();
            this.listener();
        }
    }

    /** {@inheritDoc NewsSource.takeFresh} */
    public takeFresh(): CrashNews {
        const { reports, sound } = this.evidence.takeFresh();
        return this.newsOf(reports, sound);
    }

    /** {@inheritDoc NewsSource.allNews} */
    public allNews(): CrashNews {
        return this.newsOf(this.evidence.reports, [...this.evidence.soundNotices]);
    }

    /** {@inheritDoc NewsSource.sampleNews} */
    public sampleNews(): CrashNews {
        const { random } = this.options;
        const sample = <T>(items: Iterable<T>): T[] => shuffled(random, [...items]).slice(0, SAMPLE_SIZE);
        return this.newsOf(sample(this.evidence.reports), sample(this.evidence.soundNotices));
    }

    /** {@inheritDoc NewsSource.applyNews} */
    public applyNews({ crashes, soundSuspects }: CrashNews): void {
        const nowMs = this.options.clock.nowMs();
        let hasChanged = false;
        for (const [suspect, ageMs] of soundSuspects) {
            hasChanged = this.evidence.applySound(suspect, nowMs - ageMs, true) || hasChanged;
        }
        for (const notice of crashes) {
            hasChanged = this.evidence.insert(toReport(notice, nowMs)) || hasChanged;
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

    /** Derives the verdicts from the evidence, and logs those that changed. */
    private derive(): void {
        const { evidence } = this;
        evidence.refresh(this.verdicts);
        const previous = this.verdicts;
        this.verdicts = new Map();
        const { reports } = evidence;
        for (const [suspect, accusing] of evidence.accused) {
            const wasSound = evidence.soundAt(suspect) !== undefined;
            const verdict = judgeSuspect(suspect, accusing, reports, wasSound);
            if (verdict) {
                this.verdicts.set(suspect, verdict);
            }
        }
        this.logChanges(previous);
    }

    private logChanges(previous: ReadonlyMap<string, Verdict>): void {
        const { clock, events } = this.options;
        for (const [suspect, { crashes, jointSuspects, untilMs }] of this.verdicts) {
            if (previous.get(suspect)?.crashes !== crashes) {
                const accusing = this.evidence.accused.get(suspect) ?? [];
                events.emit(suspectQuarantined, {
                    ...suspectFields(suspect),
                    crashes,
                    jointParts: jointSuspects.join(" "),
                    evidence: accusing.map(({ id }) => id.toString(16)).join(" "),
                    evidenceAgesMs: accusing.map(({ crashedMs }) => Math.round(clock.nowMs() - crashedMs))
                        .join(" "),
                    forMs: Math.round(untilMs - clock.nowMs()),
                });
            }
        }
        for (const [suspect, { crashes }] of previous) {
            if (!this.verdicts.has(suspect)) {
                const soundMs = this.evidence.soundAt(suspect);
                events.emit(suspectCleared, {
                    ...suspectFields(suspect),
                    crashes,
                    soundAgeMs: soundMs === undefined ? undefined : Math.round(clock.nowMs() - soundMs),
                });
            }
        }
    }

    private takeTrial(suspect: string, { untilMs }: Verdict): boolean {
        const nowMs = this.options.clock.nowMs();
        const lastMs = this.trialMs.get(suspect) ?? Number.NEGATIVE_INFINITY;
        const isItsTurn = nowMs > untilMs + SINGLE_TRIAL_MS || this.options.isTrialInstance(suspect);
        if (nowMs < lastMs + TRIAL_TIMEOUT_MS || !isItsTurn) {
            return false;
        }
        this.trialMs.set(suspect, nowMs);
        this.options.events.emit(suspectTried, {
            ...suspectFields(suspect),
            sinceDueMs: Math.round(nowMs - untilMs),
        });
        return true;
    }

    private newsOf(reports: readonly CrashReport[], sound: readonly string[]): CrashNews {
        const nowMs = this.options.clock.nowMs();
        return {
            crashes: reports.map(report => toNotice(report, nowMs)),
            soundSuspects: new Map(sound.flatMap(suspect => {
                const soundMs = this.evidence.noticedSoundAt(suspect);
                return soundMs === undefined ? [] : [[suspect, nowMs - soundMs]];
            })),
        };
    }
}

/** Fields of an event that name a suspect. */
const suspectFields = (suspect: string): Readonly<Record<string, string>> =>
    isRequestIdentity(suspect) ? { request: suspect } : { part: suspect };

const toNotice = (
    { crashedMs, id, sentMs, servedMs, server, suspects }: CrashReport,
    nowMs: number,
): CrashNotice => ({
    id,
    server,
    ageMs: nowMs - crashedMs,
    sentBeforeMs: crashedMs - sentMs,
    servedBeforeMs: crashedMs - servedMs,
    suspects,
});

const toReport = (notice: CrashNotice, nowMs: number): CrashReport => {
    const crashedMs = nowMs - notice.ageMs;
    return {
        id: notice.id,
        server: notice.server,
        crashedMs,
        sentMs: crashedMs - notice.sentBeforeMs,
        servedMs: crashedMs - notice.servedBeforeMs,
        suspects: notice.suspects,
    };
};
