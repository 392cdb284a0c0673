/**
 * Describes the events of one request in plain sentences.
 *
 * @packageDocumentation
 */

import type { TimelineEntry } from "@magnolialock/kernel";
import { match, P } from "ts-pattern";
import { stateAtDecision } from "./stateAtDecision.ts";

const formatEvent = ({ fields, instance, name }: TimelineEntry): string => {
    const details = Object.entries(fields).filter(([key]) => key !== "requestId")
        .map(([key, value]) => `${key} ${value}`);
    return `${instance}: ${[name, ...details].join(", ")}.`;
};

/** Describes an event of a direct entry. */
const describeDirectEvent = (entry: TimelineEntry): string => {
    const { fields, instance, name } = entry;
    const field = (key: string): string => fields[key] ?? "?";
    return match(name)
        .with(
            "direct.attempt.failed",
            () =>
                `${instance} sent it to backend server ${field("server")}, which gave no answer to pass on: ${
                    field("outcome")
                } (${field("detail")}).`,
        )
        .with(
            "direct.call.answered",
            () =>
                `${instance} gave the caller the whole answer of backend server ${
                    field("server")
                } with status ${field("status")} after ${field("durationMs")} ms.`,
        )
        .with(
            "direct.call.refused",
            () =>
                `${instance} refused it with status ${field("status")}, not run, after ${
                    field("durationMs")
                } ms: ${field("reason")}.`,
        )
        .with(
            "direct.call.failed",
            () =>
                `${instance} could not give a whole answer after ${field("durationMs")} ms (${
                    field("status") === "0" ? "the answer was broken off" : `status ${field("status")}`
                }): ${field("reason")}.`,
        )
        .with(
            "direct.call.left",
            () => `${instance} saw the caller disconnect after ${field("durationMs")} ms.`,
        )
        .otherwise(() => formatEvent(entry));
};

/** Describes an event in terms that operators know. */
const describeEvent = (entry: TimelineEntry): string => {
    const { fields, instance, name } = entry;
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
            () => `${instance} replayed the answer that it had stored from the first run.`,
        )
        .with(
            "entry.attempt.failed",
            () =>
                `${instance} saw attempt ${field("attempt")} end without a complete answer: ${
                    field("outcome")
                }.`,
        )
        .with("entry.request.recalled", () => `${instance} recalled it; the outcome is: ${field("outcome")}.`)
        .with(
            "entry.answer.dropped",
            () => `${instance} dropped an event that did not belong to this answer or came late or twice.`,
        )
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
        .with(P.string.startsWith("direct."), () => describeDirectEvent(entry))
        .with(P.string, () => formatEvent(entry))
        .exhaustive();
};

const describeDirectOutcome = ({ fields, name }: TimelineEntry): string =>
    match(name)
        .with("direct.call.answered", () => "The caller has its whole answer.")
        .with("direct.call.refused", () => "It has not run, and the caller was told so.")
        .with("direct.call.failed", () =>
            fields["mayHaveRun"] === "true"
                ? "It may have run: no promise was made to the caller."
                : "It has not run.")
        .otherwise(() => "The caller disconnected first.");

/** Describes what the caller was told in the end. */
const describeOutcome = (entries: readonly TimelineEntry[]): string => {
    const direct = entries.findLast(({ name }) => name.startsWith("direct.call."));
    if (direct) {
        return describeDirectOutcome(direct);
    }
    const last = entries.findLast(({ name }) =>
        name === "entry.request.answered" || name === "entry.request.failed"
    );
    const starts = entries.filter(({ name }) => name === "agent.request.started").length;
    const runs = `It was handed to a backend server ${starts === 1 ? "once" : `${starts} times`}.`;
    return match(last?.name)
        .with("entry.request.answered", () => `The caller has its whole answer. ${runs}`)
        .with("entry.request.failed", () => `The caller was told "${last?.fields["ran"] ?? "?"}". ${runs}`)
        .otherwise(() => `No event that was read records its outcome. ${runs}`);
};

const stateLines = (
    entries: readonly TimelineEntry[],
    allEntries: readonly TimelineEntry[],
): string[] => {
    const decision = entries.findLast(({ name }) => name.startsWith("direct."));
    const stateEvents = decision ? stateAtDecision(decision, allEntries) : [];
    const lines = stateEvents.map(({ ageMs, entry }) => {
        const details = Object.entries(entry.fields).map(([key, value]) => `${key} ${value}`).join(", ");
        return `  ${Math.round(ageMs)} ms before: ${entry.name} (${details})`;
    });
    return lines.length > 0 ? [`What ${decision?.instance ?? ""} knew at that time:`, ...lines] : [];
};

/**
 * Describes what happened to a request.
 *
 * @param requestId - identifier of the request
 * @param entries - events of the request, in order
 * @param allEntries - all known events, in order; the state that a decision was based on is derived from them
 * @returns lines to print
 */
export const explainRequest = (
    requestId: string,
    entries: readonly TimelineEntry[],
    allEntries: readonly TimelineEntry[] = [],
): string[] => {
    const [first] = entries;
    if (!first) {
        return [
            `No events of request ${requestId} were found: add peers, or ask before they are discarded.`,
        ];
    }
    return [
        `Request ${requestId}, from ${new Date(first.time.wallMs).toISOString()}:`,
        ...entries.map(entry =>
            `  +${Math.round(entry.time.wallMs - first.time.wallMs)} ms  ${describeEvent(entry)}`
        ),
        describeOutcome(entries),
        ...stateLines(entries, allEntries),
    ];
};
