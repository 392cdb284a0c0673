/**
 * Evidence about crashes, of all instances: which requests ended with their server, and which of their suspects were
 * sound before or since.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import { LRUCache } from "lru-cache";
import { accusationsOf, type CrashReport, SAME_CRASH_MS, type Verdict } from "./crashVerdicts.ts";
import { isPromptRequest, isRequestIdentity } from "./requestIdentity.ts";

/** Time after which evidence that led to no verdict is forgotten, in milliseconds. */
const EVIDENCE_LIFETIME_MS = 1_800_000;
/** Maximum number of crash reports; the crashes of a whole data centre need fewer. */
export const MAX_REPORTS = 128;
/** Maximum number of suspects whose latest sound answer is remembered. */
const MAX_SOUND_SUSPECTS = 4_096;
/** Maximum number of suspects in one instance's notices about sound answers. */
const MAX_SOUND_NOTICES = 128;

/** Holds the evidence, within bounds. */
export class CrashEvidence {
    private readonly reportsById = new Map<number, CrashReport>();
    private readonly soundMs = new LRUCache<string, number>({ max: MAX_SOUND_SUSPECTS });
    private readonly soundNoticeMs = new LRUCache<string, number>({ max: MAX_SOUND_NOTICES });
    private readonly freshReports = new Set<number>();
    private readonly freshSound = new Set<string>();
    private accusations = new Map<string, CrashReport[]>();
    private hasRequestSuspects = false;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /** All crash reports. */
    public get reports(): readonly CrashReport[] {
        return [...this.reportsById.values()];
    }

    /** Number of crash reports. */
    public get reportCount(): number {
        return this.reportsById.size;
    }

    /** Suspects with the reports that accuse them. */
    public get accused(): ReadonlyMap<string, readonly CrashReport[]> {
        return this.accusations;
    }

    /** Whether a whole request is among the suspects. */
    public get accusesRequests(): boolean {
        return this.hasRequestSuspects;
    }

    /** Suspects whose sound answer is worth telling to others. */
    public get soundNotices(): Iterable<string> {
        return this.soundNoticeMs.keys();
    }

    /**
     * Returns the time of the latest sound answer on a suspect, in milliseconds.
     *
     * @param suspect - the suspect
     * @returns the time; undefined if there was none
     */
    public soundAt(suspect: string): number | undefined {
        return this.soundMs.get(suspect);
    }

    /**
     * Returns the time of a sound answer for a notice, in milliseconds.
     *
     * @param suspect - a suspect of {@link CrashEvidence.soundNotices}
     */
    public noticedSoundAt(suspect: string): number | undefined {
        return this.soundNoticeMs.peek(suspect);
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
     * Applies a sound answer. Of whole requests only accused ones are remembered, since there are too many others.
     *
     * @param suspect - a part of its prompt, or its request
     * @param atMs - time of the answer, in milliseconds
     * @param isNotice - whether another instance tells of it, since the suspect was accused there
     * @returns whether it cleared the suspect of an accusation
     */
    public applySound(suspect: string, atMs: number, isNotice = false): boolean {
        const accusing = this.accusations.get(suspect)?.filter(({ crashedMs }) => crashedMs <= atMs) ?? [];
        const isRemembered = isNotice || accusing.length > 0 || !isRequestIdentity(suspect);
        if (isRemembered && atMs > (this.soundMs.get(suspect) ?? Number.NEGATIVE_INFINITY)) {
            this.soundMs.set(suspect, atMs);
        }
        for (const report of accusing) {
            this.replaceSuspects(report, report.suspects.filter(other => other !== suspect));
        }
        if (accusing.length > 0) {
            this.soundNoticeMs.set(suspect, atMs);
            this.freshSound.add(suspect);
        }
        return accusing.length > 0;
    }

    /**
     * Adds a report.
     *
     * @param report - the report
     * @returns whether it was new or accuses fewer suspects than before
     */
    public insert(report: CrashReport): boolean {
        const known = this.reportsById.get(report.id);
        const suspects = report.suspects.filter(suspect =>
            (this.soundMs.get(suspect) ?? Number.NEGATIVE_INFINITY) < report.crashedMs
            // An instance that left a suspect out has heard of a sound answer.
            && (known === undefined || known.suspects.includes(suspect))
        );
        if (known) {
            if (suspects.length === known.suspects.length) {
                return false;
            }
            this.replaceSuspects(known, suspects);
            return true;
        }
        if (suspects.length === 0) {
            return false;
        }
        this.reportsById.set(report.id, { ...report, suspects });
        this.freshReports.add(report.id);
        this.vouch(suspects);
        return true;
    }

    /** Takes the reports and sound suspects that were not told to other instances yet. */
    public takeFresh(): { readonly reports: readonly CrashReport[]; readonly sound: readonly string[]; } {
        const reports = [...this.freshReports].flatMap(id => this.reportsById.get(id) ?? []);
        const sound = [...this.freshSound];
        this.freshReports.clear();
        this.freshSound.clear();
        return { reports, sound };
    }

    /**
     * Drops outdated reports, those without a verdict first, and groups the others by suspect.
     *
     * @param verdicts - verdicts in force
     */
    public refresh(verdicts: ReadonlyMap<string, Verdict>): void {
        this.dropOldReports(verdicts);
        this.accusations = accusationsOf(this.reportsById.values());
        this.hasRequestSuspects = [...this.accusations.keys()].some(isRequestIdentity);
    }

    /** Tells the others which of the accused suspects were sound before. */
    private vouch(suspects: readonly string[]): void {
        for (const suspect of suspects) {
            const soundMs = this.soundMs.peek(suspect);
            if (soundMs !== undefined && !this.soundNoticeMs.has(suspect)) {
                this.soundNoticeMs.set(suspect, soundMs);
                this.freshSound.add(suspect);
            }
        }
    }

    private replaceSuspects(report: CrashReport, suspects: readonly string[]): void {
        const current = this.reportsById.get(report.id);
        if (!current) {
            return;
        }
        const remaining = current.suspects.filter(suspect => suspects.includes(suspect));
        if (remaining.length === 0) {
            this.reportsById.delete(report.id);
        }
        else {
            this.reportsById.set(report.id, { ...current, suspects: remaining });
        }
    }

    private dropOldReports(verdicts: ReadonlyMap<string, Verdict>): void {
        const nowMs = this.clock.nowMs();
        const isInVerdict = ({ suspects }: CrashReport): boolean =>
            suspects.some(suspect => verdicts.has(suspect));
        const isOutdated = (report: CrashReport): boolean =>
            report.suspects.every(suspect => {
                const keptUntilMs = verdicts.get(suspect)?.untilMs ?? report.crashedMs;
                return nowMs > keptUntilMs + EVIDENCE_LIFETIME_MS;
            });
        for (const report of this.reportsById.values()) {
            if (isOutdated(report)) {
                this.reportsById.delete(report.id);
            }
        }
        const isWeak = ({ suspects }: CrashReport): boolean => suspects.every(isPromptRequest);
        const oldestFirst = [...this.reportsById.values()].sort((left, right) =>
            Number(isInVerdict(left)) - Number(isInVerdict(right))
            || Number(isWeak(right)) - Number(isWeak(left))
            || left.crashedMs - right.crashedMs
        );
        const surplus = Math.max(0, this.reportsById.size - MAX_REPORTS);
        for (const { id } of oldestFirst.slice(0, surplus)) {
            this.reportsById.delete(id);
        }
    }
}
