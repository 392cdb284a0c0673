/**
 * Tells the story of one request in plain sentences.
 *
 * @packageDocumentation
 */

import type { TimelineEntry } from "@magnolialock/kernel";
import { match, P } from "ts-pattern";

/** What an event says, in the words of an operator. */
const sentenceOf = ({ name, instance, fields }: TimelineEntry): string => {
    const field = (key: string): string => fields[key] ?? "?";
    return match(name)
        .with(
            "entry.request.received",
            () =>
                `${instance} took the request of account ${field("account")} for service ${
                    field("service")
                }.`,
        )
        .with(
            "entry.attempt.sent",
            () => `${instance} sent attempt ${field("attempt")} to backend server ${field("server")}.`,
        )
        .with(
            "agent.request.started",
            () =>
                `${instance} admitted attempt ${field("attempt")} after ${
                    field("queuedMs")
                } ms in the queue and handed it `
                + "to its backend server.",
        )
        .with("agent.request.finished", () => `${instance} got the whole answer from its backend server.`)
        .with(
            "agent.request.refused",
            () => `${instance} refused it without running it: ${field("message")}.`,
        )
        .with(
            "agent.request.broken",
            () => `${instance} lost its backend server while the request ran: ${field("message")}.`,
        )
        .with("agent.request.recalled", () => `${instance} promised that the request will never run there.`)
        .with(
            "agent.request.replayed",
            () => `${instance} gave the answer that it had kept from the first run.`,
        )
        .with(
            "entry.attempt.failed",
            () => `${instance} saw attempt ${field("attempt")} end without an answer: ${field("outcome")}.`,
        )
        .with("entry.request.recalled", () => `${instance} asked what became of it: ${field("outcome")}.`)
        .with("entry.answer.dropped", () => `${instance} dropped a piece that was no part of this answer.`)
        .with(
            "entry.request.answered",
            () => `${instance} gave the caller the whole answer, after ${field("attempts")} attempts.`,
        )
        .with(
            "entry.request.failed",
            () =>
                `${instance} told the caller that it failed (${field("code")}, ${field("ran")}): ${
                    field("message")
                }.`,
        )
        .with(P.string, () => {
            const details = Object.entries(fields).filter(([key]) => key !== "requestId")
                .map(([key, value]) => `${key} ${value}`);
            return `${instance}: ${[name, ...details].join(", ")}.`;
        })
        .exhaustive();
};

/** What the caller knows in the end. */
const verdictOf = (entries: readonly TimelineEntry[]): string => {
    const last = entries.findLast(({ name }) =>
        name === "entry.request.answered" || name === "entry.request.failed"
    );
    const starts = entries.filter(({ name }) => name === "agent.request.started").length;
    const runs = `It was handed to a backend server ${starts === 1 ? "once" : `${starts} times`}.`;
    return match(last?.name)
        .with("entry.request.answered", () => `The caller has its whole answer. ${runs}`)
        .with("entry.request.failed", () => `The caller was told "${last?.fields["ran"] ?? "?"}". ${runs}`)
        .otherwise(() => `No process that was read knows the end of it. ${runs}`);
};

/**
 * Explains a request.
 *
 * @param requestId - its identifier
 * @param entries - its events, in order
 * @returns lines to print
 */
export const explainRequest = (requestId: string, entries: readonly TimelineEntry[]): string[] => {
    const [first] = entries;
    if (!first) {
        return [`No process that was read remembers request ${requestId}: name more peers, or ask sooner.`];
    }
    return [
        `Request ${requestId}, from ${new Date(first.time.wallMs).toISOString()}:`,
        ...entries.map(entry =>
            `  +${Math.round(entry.time.wallMs - first.time.wallMs)} ms  ${sentenceOf(entry)}`
        ),
        verdictOf(entries),
    ];
};
