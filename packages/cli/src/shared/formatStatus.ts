/**
 * Formats the status of a fleet as a table or as JSON.
 *
 * @packageDocumentation
 */

import { formatRevision } from "@magnolialock/kernel";
import Table from "cli-table3";
import { describeCondition, type FleetStatus, type ProcessStatus } from "./fleetStatus.ts";

/** Table without border lines; columns are aligned with spaces so that text tools can parse the output. */
const BORDERLESS_CHARACTERS = {
    top: "",
    "top-mid": "",
    "top-left": "",
    "top-right": "",
    bottom: "",
    "bottom-mid": "",
    "bottom-left": "",
    "bottom-right": "",
    left: "",
    "left-mid": "",
    mid: "",
    "mid-mid": "",
    right: "",
    "right-mid": "",
    middle: "  ",
} as const;

const MS_PER_S = 1_000;

const formatAge = (ageMs: bigint | undefined): string =>
    ageMs === undefined ? "never" : `${(Number(ageMs) / MS_PER_S).toFixed(1)} s`;

const formatLoad = ({ answer }: ProcessStatus): string =>
    answer?.server ? `${answer.running}/${answer.limit} +${answer.queued}` : "";

const toRow = (status: ProcessStatus): string[] => [
    status.dataCentre,
    status.role,
    status.instance,
    status.answer ? formatRevision(Number(status.answer.revision)) : "?",
    status.answer ? formatAge(status.answer.confirmedAgeMs) : "?",
    status.answer?.server ?? "",
    formatLoad(status),
    describeCondition(status),
];

const trimLines = (text: string): string => text.split("\n").map(line => line.trimEnd()).join("\n");

/**
 * Formats the reasons why a revision was rejected.
 *
 * @param status - status of the fleet
 * @returns the findings, one per line; empty when no revision is rejected
 */
export const formatRejection = (status: FleetStatus): string => {
    if (status.rejectedRevision === 0) {
        return "";
    }
    const { rejectedRevision, rejectedFindings, revision } = status;
    return [
        `revision ${formatRevision(rejectedRevision)} was rejected; ${
            formatRevision(revision)
        } stays in force. `
        + "Fix the rules and publish again:",
        ...rejectedFindings.map(finding => `  ${finding}`),
        "",
    ].join("\n");
};

/**
 * Formats the status for a terminal.
 *
 * @param status - status of the fleet
 * @returns plain text
 */
export const formatStatus = (status: FleetStatus): string => {
    const table = new Table({
        head: ["DATA CENTRE", "ROLE", "INSTANCE", "REVISION", "CONFIRMED", "SERVER", "LOAD", "CONDITION"],
        chars: BORDERLESS_CHARACTERS,
        style: { head: [], border: [], "padding-left": 0, "padding-right": 0 },
    });
    table.push(...status.processes.map(toRow));
    const unanswered = status.processes.filter(({ answer }) => !answer).length;
    const behind = status.processes
        .filter(({ answer }) => answer && Number(answer.revision) < status.revision).length;
    const summary = `${status.processes.length} processes, revision ${formatRevision(status.revision)}, `
        + `${behind} behind, ${unanswered} without an answer\n`;
    return `${trimLines(table.toString())}\n\n${summary}${formatRejection(status)}`;
};

/**
 * Formats the status for scripts.
 *
 * @param status - status of the fleet
 * @returns one line of JSON
 */
export const formatStatusJson = (status: FleetStatus): string => {
    const processes = status.processes.map(process => ({
        instance: process.instance,
        role: process.role,
        dataCentre: process.dataCentre,
        address: process.address,
        revision: process.answer ? Number(process.answer.revision) : undefined,
        confirmedAgeMs: process.answer?.confirmedAgeMs === undefined
            ? undefined
            : Number(process.answer.confirmedAgeMs),
        server: process.answer?.server || undefined,
        warmth: process.answer?.warmth || undefined,
        running: process.answer?.running,
        queued: process.answer?.queued,
        limit: process.answer?.limit,
        isDraining: process.answer?.isDraining,
        isLeaving: process.answer?.isLeaving,
        condition: describeCondition(process),
    }));
    return `${JSON.stringify({ ...status, processes })}\n`;
};
