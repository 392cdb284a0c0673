/**
 * Interface between the agent and its backend server.
 *
 * @packageDocumentation
 */

import { MagnolialockError } from "@magnolialock/kernel";

/** One call to the backend server. */
export interface BackendRequest {
    /** Identifier of the caller's request. */
    readonly requestId: string;
    /** HTTP method. */
    readonly method: string;
    /** Path with the query string. */
    readonly path: string;
    /** Headers to forward. */
    readonly headers: readonly (readonly [name: string, value: string])[];
    /** Body. */
    readonly body: Uint8Array;
    /** Whether the service is a model service, whose answers are token streams. */
    readonly isModel: boolean;
    /** Number of tokens that the caller has already received. */
    readonly resumeFromToken: number;
    /** Text of those tokens. */
    readonly resumedText: string;
}

/** Part of the backend server's answer. */
export type BackendEvent =
    | {
        readonly kind: "head";
        readonly status: number;
        readonly headers: readonly (readonly [string, string])[];
    }
    | { readonly kind: "tokens"; readonly texts: readonly string[]; }
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: "end"; readonly finishReason: string; };

/** Load report of the backend server. It lags behind the actual load. */
export interface BackendLoad {
    /** Number of running calls. */
    readonly running: number;
    /** Number of calls in the backend server's own queue. */
    readonly waiting: number;
    /** Identifier of the backend server's process, which changes at a restart; undefined if not reported. */
    readonly processId: string | undefined;
    /** Keys of the prompt prefixes in its cache; empty if not reported. */
    readonly cachedPrefixes: readonly string[];
}

/** A backend server. */
export interface Backend {
    /**
     * Runs a call. The iterable finishes after an `end` event, or throws.
     *
     * @param request - the call
     * @param signal - cancels the call
     * @throws BackendRefusedError if it is certain that the call did not start, BackendBrokenError otherwise
     */
    run(request: BackendRequest, signal: AbortSignal): AsyncIterable<BackendEvent>;
    /**
     * Reads a load report.
     *
     * @param signal - cancels the read
     * @returns the load report
     */
    readLoad(signal: AbortSignal): Promise<BackendLoad>;
}

/** The backend server did not start the call; this is certain. */
export const BackendRefusedError = MagnolialockError.subclass("BackendRefusedError", {
    props: { isReachable: true },
});

/** The connection broke, or the answer was invalid or incomplete; the call may have run. */
export const BackendBrokenError = MagnolialockError.subclass("BackendBrokenError");
