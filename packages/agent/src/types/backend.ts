/**
 * The backend server as its agent sees it.
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
    /** Path with query. */
    readonly path: string;
    /** Headers to pass on. */
    readonly headers: readonly (readonly [name: string, value: string])[];
    /** Body. */
    readonly body: Uint8Array;
    /** Whether the answer is a stream of tokens. */
    readonly isModel: boolean;
    /** Tokens that the caller already has. */
    readonly resumeFromToken: number;
    /** Text of those tokens. */
    readonly resumedText: string;
}

/** A piece of the backend server's answer. */
export type BackendEvent =
    | {
        readonly kind: "head";
        readonly status: number;
        readonly headers: readonly (readonly [string, string])[];
    }
    | { readonly kind: "tokens"; readonly texts: readonly string[]; }
    | { readonly kind: "body"; readonly bytes: Uint8Array; }
    | { readonly kind: "end"; readonly finishReason: string; };

/** Load as the backend server reports it, with a lag. */
export interface BackendLoad {
    /** Calls that it runs. */
    readonly running: number;
    /** Calls that wait in it. */
    readonly waiting: number;
    /** Identifier of its process; changes when it restarts. Undefined where it tells none. */
    readonly processId: string | undefined;
    /** Keys of prompt prefixes in its cache, as far as it tells. */
    readonly cachedPrefixes: readonly string[];
}

/** A backend server. */
export interface Backend {
    /**
     * Runs a call. The iterable ends after an `end` event or throws.
     *
     * @param request - the call
     * @param signal - cancels the call
     * @throws BackendRefusedError when the call surely did not start, BackendBrokenError otherwise
     */
    run(request: BackendRequest, signal: AbortSignal): AsyncIterable<BackendEvent>;
    /**
     * Reads its load.
     *
     * @param signal - gives the read up
     */
    readLoad(signal: AbortSignal): Promise<BackendLoad>;
}

/** The backend server surely did not start the call. */
export const BackendRefusedError = MagnolialockError.subclass("BackendRefusedError", {
    props: { isReachable: true },
});

/** The connection broke; the call may have run. */
export const BackendBrokenError = MagnolialockError.subclass("BackendBrokenError");
