/**
 * Promises about answers: they are complete, a reported "not run" is correct, and non-repeatable requests run
 * at most once.
 *
 * @packageDocumentation
 */

import type { CallerAttempt, ExecutionStart, Observations } from "./observations.ts";
import { systemPromises } from "./promise.ts";

const answerText = (attempt: CallerAttempt): string =>
    attempt.events.map(event => event.kind === "text" ? event.text : "").join("");

const startsByRequest = (observations: Observations): ReadonlyMap<string, readonly ExecutionStart[]> => {
    const byRequest = new Map<string, ExecutionStart[]>();
    for (const start of observations.starts) {
        const starts = byRequest.get(start.requestId) ?? [];
        starts.push(start);
        byRequest.set(start.requestId, starts);
    }
    return byRequest;
};

/** Whether the body of a plain answer names the request that it belongs to. */
const isOwnPlainAnswer = (attempt: CallerAttempt): boolean => {
    try {
        const body = JSON.parse(answerText(attempt)) as { readonly request_id?: string; };
        return body.request_id === attempt.requestId;
    }
    catch {
        return false;
    }
};

const describeBadAnswer = (observations: Observations, attempt: CallerAttempt): string | undefined => {
    const name = `${attempt.kind} ${attempt.requestId} through ${attempt.entry}`;
    const last = attempt.events.at(-1);
    const ends = attempt.events.filter(({ kind }) => kind === "end" || kind === "failed").length;
    if (ends > 1 || (ends === 1 && last?.kind !== "end" && last?.kind !== "failed")) {
        return `${name}: an event arrived after the end of the answer`;
    }
    if (attempt.events.filter(({ kind }) => kind === "head").length > 1) {
        return `${name}: the answer has more than one head`;
    }
    const expected = attempt.kind === "draft"
        ? observations.expectedDraft(attempt.requestId, attempt.tokens)
        : "";
    if (attempt.kind === "draft" && !expected.startsWith(answerText(attempt))) {
        return `${name}: a token is wrong, missing or duplicated`;
    }
    if (last?.kind !== "end") {
        return undefined;
    }
    const isWhole = attempt.kind === "draft" ? answerText(attempt) === expected : isOwnPlainAnswer(attempt);
    return isWhole
        ? undefined
        : `${name}: the answer ended normally but is incomplete or belongs to another request`;
};

/** Longest deadline of a service plus the longest queueing time at an entry, in milliseconds. */
const MAX_ANSWER_TIME_MS = 70_000;

const describeMissingAnswer = (observations: Observations, attempt: CallerAttempt): string | undefined => {
    const pausedMs = observations.disturbances
        .filter(({ kind, subject }) => kind === "pause" && subject === attempt.entry)
        .reduce((sum, { atMs, endMs }) => sum + Math.min(endMs, observations.endMs) - atMs, 0);
    const isUnanswered = attempt.endedMs === undefined && !attempt.isAbandoned
        && observations.endMs - attempt.sentMs > MAX_ANSWER_TIME_MS + pausedMs;
    return isUnanswered
        ? `${attempt.kind} ${attempt.requestId} through ${attempt.entry}: no answer and no failure arrived`
        : undefined;
};

systemPromises.register({
    name: "whole-answer",
    description:
        "Every caller gets the complete answer to its own request, even when answers are delayed or crossed.",
    check: observations =>
        observations.tries
            .flatMap(attempt => [
                describeBadAnswer(observations, attempt),
                describeMissingAnswer(observations, attempt),
            ])
            .filter(message => message !== undefined),
});

/**
 * Whether an earlier submission of the same request may still be running. An execution can then not be
 * attributed to one of the two.
 */
const mayOverlapEarlier = (tries: readonly CallerAttempt[], attempt: CallerAttempt): boolean =>
    tries.some(other =>
        other !== attempt && other.requestId === attempt.requestId && other.sentMs <= attempt.sentMs
        && (other.endedMs ?? Number.POSITIVE_INFINITY) > attempt.sentMs
    );

systemPromises.register({
    name: "true-not-run",
    description: 'A request that was refused as "not run" has not run.',
    check: observations => {
        const starts = startsByRequest(observations);
        return observations.tries.flatMap((attempt, index) => {
            const last = attempt.events.at(-1);
            if (last?.kind !== "failed" || last.ran !== "not run") {
                return [];
            }
            if (attempt.kind !== "booking" && mayOverlapEarlier(observations.tries, attempt)) {
                return [];
            }
            const next = observations.tries.slice(index + 1).find(({ requestId }) =>
                requestId === attempt.requestId
            );
            const sinceMs = attempt.kind === "booking" ? 0 : attempt.sentMs;
            const execution = (starts.get(attempt.requestId) ?? []).find(({ atMs }) =>
                atMs >= sinceMs && atMs < (next?.sentMs ?? Infinity)
            );
            return execution
                ? [
                    `${attempt.kind} ${attempt.requestId} through ${attempt.entry}: "not run" (${last.code}), `
                    + `but it ran on ${execution.server} at ${Math.round(execution.atMs)} ms`,
                ]
                : [];
        });
    },
});

systemPromises.register({
    name: "at-most-once",
    description: "A non-repeatable request (a booking, a sign command or a charge) runs at most once.",
    check: observations => {
        const starts = startsByRequest(observations);
        const bookings = new Set(
            observations.tries.filter(({ kind }) => kind === "booking").map(attempt => attempt.requestId),
        );
        return [...bookings].flatMap(requestId => {
            const runs = starts.get(requestId) ?? [];
            return runs.length > 1
                ? [`booking ${requestId} ran ${runs.length} times: on ${
                    runs.map(run => run.server).join(", ")
                }`]
                : [];
        });
    },
});

systemPromises.register({
    name: "graceful-stop",
    description: "Every planned stop is a graceful shutdown that cuts off no request.",
    check: observations => {
        const isPlanned = observations.disturbances.every(disturbance => disturbance.isPlanned);
        const hasStop = observations.disturbances.some(({ kind }) => kind === "stop");
        if (!isPlanned || !hasStop) {
            return [];
        }
        return observations.tries.flatMap(attempt => {
            const last = attempt.events.at(-1);
            const overlapsStop = observations.disturbances.some(({ kind, atMs }) =>
                kind === "stop" && atMs >= attempt.sentMs && atMs <= (attempt.endedMs ?? observations.endMs)
            );
            const isCutOff = overlapsStop && last?.kind === "failed" && last.ran !== "not run";
            return isCutOff
                ? [`${attempt.kind} ${attempt.requestId} through ${attempt.entry}: cut off by a planned stop`]
                : [];
        });
    },
});
