/**
 * What was observed at the stand-ins, the callers and the operators during a run. It is the oracle's only
 * input.
 *
 * @packageDocumentation
 */

/** Kind of a request. */
export type RequestKind = "draft" | "booking" | "status";

/** Event of an answer as the caller received it. */
export type ObservedEvent =
    | { readonly kind: "head"; readonly status: number; }
    | { readonly kind: "text"; readonly text: string; }
    | { readonly kind: "end"; }
    | { readonly kind: "failed"; readonly ran: string; readonly code: string; };

/** One submission of a request by its caller, which may retry it. */
export interface CallerAttempt {
    /** Identifier of the request; retries keep it. */
    readonly requestId: string;
    /** Kind of the request. */
    readonly kind: RequestKind;
    /** Name of the entry that the caller sent it to. */
    readonly entry: string;
    /** Number of tokens that a draft requests. */
    readonly tokens: number;
    /** Time of sending on the fleet's clock, in milliseconds. */
    readonly sentMs: number;
    /** Events of the answer, in order of arrival. */
    readonly events: ObservedEvent[];
    /** Ticket that arrived with the answer. */
    ticket: string | undefined;
    /** Time at which the answer ended or failed, in milliseconds; undefined until then. */
    endedMs: number | undefined;
    /** Whether the caller gave up or lost its connection to the entry. */
    isAbandoned: boolean;
}

/** Start of one execution on a backend server. */
export interface ExecutionStart {
    /** Name of the backend server. */
    readonly server: string;
    /** Data centre of the backend server. */
    readonly dataCentre: string;
    /** Identifier of the request. */
    readonly requestId: string;
    /** Time of the start, in milliseconds. */
    readonly atMs: number;
    /** Calls running on the backend server, this one included. */
    readonly running: number;
    /** Whether the backend server was in cold start. */
    readonly isCold: boolean;
    /** Largest number of concurrent calls in cold start. */
    readonly coldLimit: number;
}

/** Fault or operator action that affected the fleet. */
export interface Disturbance {
    /** Time of its start, in milliseconds. */
    readonly atMs: number;
    /**
     * Time of its end, in milliseconds; equal to `atMs` for an instantaneous event, infinite while it lasts.
     */
    endMs: number;
    /** Whether it is a planned operator action rather than a fault. */
    readonly isPlanned: boolean;
    /** Kind of the fault or action. */
    readonly kind:
        | "cold turn"
        | "cut"
        | "data centre out"
        | "drain"
        | "kill"
        | "pause"
        | "platform"
        | "publish"
        | "restart"
        | "stall"
        | "stop";
    /** Data centre, process or backend server affected; empty for the whole fleet. */
    readonly subject: string;
}

/** Periodic sample of the configuration revision that a process has in force. */
export interface RevisionSample {
    /** Time of the sample, in milliseconds. */
    readonly atMs: number;
    /** Name of the process; it stays the same after a restart. */
    readonly process: string;
    /** Revision in force; 0 for none. */
    readonly revision: number;
    /** Whether the process was paused. */
    readonly isPaused: boolean;
}

/** Configuration revision published by operators. */
export interface PublishedRevision {
    /** Time of publishing, in milliseconds. */
    readonly atMs: number;
    /** Number of the revision. */
    readonly revision: number;
    /** Whether it contains errors and must be rejected. */
    readonly isBad: boolean;
}

/** Use of an expert map by one rank in one step. */
export interface RankStep {
    /** Name of the group. */
    readonly group: string;
    /** Index of the step. */
    readonly step: number;
    /** Index of the rank. */
    readonly rank: number;
    /** Identifier of the map. */
    readonly map: string;
}

/** Everything that was observed during a run. */
export interface Observations {
    /** Submissions of all requests, retries included, in order of sending. */
    readonly tries: readonly CallerAttempt[];
    /** Execution starts, in order of time. */
    readonly starts: readonly ExecutionStart[];
    /** Faults and operator actions. */
    readonly disturbances: readonly Disturbance[];
    /** Samples of the revisions in force. */
    readonly revisionSamples: readonly RevisionSample[];
    /** Published revisions, oldest first. */
    readonly publishedRevisions: readonly PublishedRevision[];
    /** Expert maps used by ranks in their steps. */
    readonly rankSteps: readonly RankStep[];
    /** End of the run, in milliseconds. */
    readonly endMs: number;
    /**
     * Computes the complete text of a draft.
     *
     * @param requestId - identifier of the request
     * @param tokens - number of tokens
     * @returns the text that the caller must receive
     */
    readonly expectedDraft: (requestId: string, tokens: number) => string;
}
