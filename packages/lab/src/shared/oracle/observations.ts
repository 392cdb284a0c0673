/**
 * What stand-ins, callers and operators saw during a run. The oracle judges by this alone.
 *
 * @packageDocumentation
 */

/** Kinds of requests. */
export type RequestKind = "draft" | "booking" | "status";

/** A piece of an answer, as the caller got it. */
export type SeenEvent =
    | { readonly kind: "head"; readonly status: number; }
    | { readonly kind: "text"; readonly text: string; }
    | { readonly kind: "end"; }
    | { readonly kind: "failed"; readonly ran: string; readonly code: string; };

/** One try of a request by its caller. */
export interface CallerTry {
    /** Identifier of the request; a retry has the same. */
    readonly requestId: string;
    /** What it asks for. */
    readonly kind: RequestKind;
    /** Entry that the caller used. */
    readonly entry: string;
    /** Tokens that a draft asks for. */
    readonly tokens: number;
    /** When it was sent, in milliseconds of the fleet's clock. */
    readonly sentMs: number;
    /** Pieces of the answer. */
    readonly events: SeenEvent[];
    /** Ticket that came with the answer. */
    ticket: string | undefined;
    /** When the last piece came. */
    endedMs: number | undefined;
    /** Whether the caller gave up or lost its entry. */
    isLost: boolean;
}

/** One start of work at a backend server. */
export interface WorkStart {
    /** Its name. */
    readonly server: string;
    /** Its data centre. */
    readonly dataCentre: string;
    /** Identifier of the request. */
    readonly requestId: string;
    /** When, in milliseconds. */
    readonly atMs: number;
    /** Calls that ran, with this one. */
    readonly running: number;
    /** Whether the backend server was in cold start. */
    readonly isCold: boolean;
    /** Calls that it bears at once in cold start. */
    readonly coldLimit: number;
}

/** Something that happened to the fleet. */
export interface Disturbance {
    /** When, in milliseconds. */
    readonly atMs: number;
    /** When it ended; the same as `atMs` for a single event, infinite while it lasts. */
    endMs: number;
    /** Whether an operator planned it. */
    readonly isPlanned: boolean;
    /** What it was. */
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
    /** Data centre, process or backend server that it happened to; empty for the whole fleet. */
    readonly subject: string;
}

/** Revision that a process had in force. */
export interface RevisionSample {
    /** When, in milliseconds. */
    readonly atMs: number;
    /** Name of the process; its next life has the same. */
    readonly process: string;
    /** Revision in force; 0 for none. */
    readonly revision: number;
    /** Whether the process was paused. */
    readonly isPaused: boolean;
}

/** A revision that operators published. */
export interface PublishedRevision {
    /** When, in milliseconds. */
    readonly atMs: number;
    /** Its number. */
    readonly revision: number;
    /** Whether it has mistakes and must be rejected. */
    readonly isBad: boolean;
}

/** Expert map that a rank used in a step. */
export interface RankStep {
    /** Name of the group. */
    readonly group: string;
    /** Number of the step. */
    readonly step: number;
    /** Rank. */
    readonly rank: number;
    /** Identity of the map. */
    readonly map: string;
}

/** Everything that was seen. */
export interface Observations {
    /** Tries of all requests, in the order of sending. */
    readonly tries: readonly CallerTry[];
    /** Starts of work, in the order of time. */
    readonly starts: readonly WorkStart[];
    /** What happened to the fleet. */
    readonly disturbances: readonly Disturbance[];
    /** Revisions in force. */
    readonly revisions: readonly RevisionSample[];
    /** Revisions published. */
    readonly published: readonly PublishedRevision[];
    /** Maps that ranks used. */
    readonly rankSteps: readonly RankStep[];
    /** End of the run, in milliseconds. */
    readonly endMs: number;
    /**
     * Gives the text that a whole draft has.
     *
     * @param requestId - identifier of the request
     * @param tokens - its tokens
     */
    readonly expectedDraft: (requestId: string, tokens: number) => string;
}
