/**
 * Derives verdicts about suspects, which are parts of prompts or whole requests, from evidence of crashes. A pure
 * function of the evidence, so that instances which know the same evidence agree.
 *
 * @packageDocumentation
 */

import { isPromptRequest, isRequestIdentity } from "./requestIdentity.ts";

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
    /** Shared parts of its prompt that are not known to be sound, and the identity of the request. */
    readonly suspects: readonly string[];
}

/** A suspect in quarantine. */
export interface Verdict {
    /** Independent crashes that accuse it. */
    readonly crashes: number;
    /** Time from which it may be tried again, in milliseconds. */
    readonly untilMs: number;
    /** Suspects that each accusing request held, this one included; one of them is to blame. */
    readonly jointSuspects: readonly string[];
}

/** Independent crashes that put a suspect into quarantine. */
const CRASHES_TO_QUARANTINE = 2;
/** The same for a suspect that was sound before: it may be accused by chance. */
const CRASHES_OF_SOUND_SUSPECT = 3;
/**
 * Blame that a suspect needs for each of these crashes: its share among the requests that remain suspects. Servers
 * that end together leave many suspects, and each of them little evidence.
 */
const MIN_BLAME_SHARE = 0.75;
/**
 * Further crashes that a suspect needs at most: one for each crash, among those that accuse it, at which it was not
 * present. Where servers end for other reasons all the time, a popular part is present at two of them by chance.
 */
const MAX_FURTHER_CRASHES = 3;
/** The same for a whole request: its servers may be the whole service, and it comes by chance less often. */
const MAX_FURTHER_CRASHES_OF_REQUEST = 1;
/** Servers that end within this time are treated as one crash with all their suspects, in milliseconds. */
const SAME_MOMENT_MS = 250;
/** Notices of one server whose crash times differ by less belong to one crash, in milliseconds. */
export const SAME_CRASH_MS = 1_500;
/** Time until a suspect is tried again after the crash that put it into quarantine, in milliseconds. */
const FIRST_TRIAL_AFTER_MS = 600_000;
/** Factor by which each further crash makes that time longer: a trial costs a server. */
const TRIAL_BACKOFF = 4;
const MAX_TRIAL_AFTER_MS = 86_400_000;

/**
 * Groups reports by the suspects that they accuse.
 *
 * @param reports - all reports
 * @returns the accusing reports by suspect
 */
export const accusationsOf = (reports: Iterable<CrashReport>): Map<string, CrashReport[]> => {
    const accusations = new Map<string, CrashReport[]>();
    for (const report of reports) {
        for (const suspect of report.suspects) {
            const accusing = accusations.get(suspect) ?? [];
            accusations.set(suspect, accusing);
            accusing.push(report);
        }
    }
    return accusations;
};

/**
 * Selects the crashes that accuse a suspect independently of each other. Servers that end together, for instance
 * with their data centre, take many popular suspects with them; such crashes count as one. A later one counts only
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

/**
 * Share of the requests with a suspect among those that may have caused a crash. A request with a prompt whose parts
 * are all sound is hardly the cause: only its own identity would be left, which accuses it alone.
 */
const blameShare = (suspect: string, reports: readonly CrashReport[]): number => {
    const holders = reports.filter(({ suspects }) => suspects.includes(suspect)).length;
    const others =
        reports.filter(({ suspects }) =>
            !suspects.includes(suspect) && suspects.some(other => !isPromptRequest(other))
        ).length;
    return holders / Math.max(1, holders + others);
};

/** Counts the moments of crashes, from the first to the last that accuse a suspect, at which nothing accuses it. */
const countOtherCrashes = (
    suspect: string,
    counted: readonly CrashReport[],
    reports: readonly CrashReport[],
): number => {
    const firstMs = counted[0]?.crashedMs ?? 0;
    const lastMs = counted.at(-1)?.crashedMs ?? 0;
    const between = reports
        .filter(({ crashedMs }) => crashedMs >= firstMs && crashedMs <= lastMs)
        .sort((left, right) => left.crashedMs - right.crashedMs);
    const moments: CrashReport[][] = [];
    for (const report of between) {
        const latest = moments.at(-1);
        if (latest?.[0] && report.crashedMs - latest[0].crashedMs < SAME_MOMENT_MS) {
            latest.push(report);
        }
        else {
            moments.push([report]);
        }
    }
    return moments.filter(moment => !moment.some(({ suspects }) => suspects.includes(suspect))).length;
};

/**
 * Judges a suspect.
 *
 * @param suspect - the suspect
 * @param accusing - reports that accuse it
 * @param reports - all reports
 * @param wasSound - whether an answer on it was under way before
 * @returns the verdict; undefined if it is not put into quarantine
 */
export const judgeSuspect = (
    suspect: string,
    accusing: readonly CrashReport[],
    reports: readonly CrashReport[],
    wasSound: boolean,
): Verdict | undefined => {
    const counted = independentCrashes(accusing);
    const crashes = counted.length;
    const last = counted.at(-1);
    const neededCrashes = wasSound ? CRASHES_OF_SOUND_SUSPECT : CRASHES_TO_QUARANTINE;
    if (!last || crashes < neededCrashes) {
        return undefined;
    }
    const maxFurther = isRequestIdentity(suspect) ? MAX_FURTHER_CRASHES_OF_REQUEST : MAX_FURTHER_CRASHES;
    const further = Math.min(maxFurther, countOtherCrashes(suspect, counted, reports));
    if (crashes < neededCrashes + further) {
        return undefined;
    }
    const blame = counted.reduce((sum, crash) => {
        const sameMoment = reports.filter(report =>
            Math.abs(report.crashedMs - crash.crashedMs) < SAME_MOMENT_MS
        );
        return sum + blameShare(suspect, sameMoment);
    }, 0);
    if (blame < neededCrashes * MIN_BLAME_SHARE) {
        return undefined;
    }
    const trialAfterMs = FIRST_TRIAL_AFTER_MS * TRIAL_BACKOFF ** (crashes - neededCrashes);
    return {
        crashes,
        untilMs: last.crashedMs + Math.min(MAX_TRIAL_AFTER_MS, trialAfterMs),
        jointSuspects: last.suspects.filter(joint =>
            accusing.every(({ suspects }) => suspects.includes(joint))
        ),
    };
};
