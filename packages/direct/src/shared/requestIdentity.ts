/**
 * Identity of a request that its caller may send again: what it asks for and for whom, but not the attempt.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";
import type { AdmittedCall } from "../types/admittedCall.ts";
import type { IncomingCall } from "../types/call.ts";

/** Identifiers of prompt parts never hold this character. */
const MARK = ":";
/** Mark of a request with shared prompt parts. */
const PROMPT_MARK = "::";
/** Characters of the hash, 6 bits each: callers choose bodies, so collisions must be out of reach. */
const HASH_LENGTH = 22;

/** Hashes that were computed; a long body is hashed once. */
const known = new WeakMap<IncomingCall, string>();

/**
 * Returns the identity of a request: a hash of its method, host, path, client account and body.
 *
 * @param call - the request
 * @param admitted - its account
 * @param hasParts - whether its prompt has shared parts
 */
export const requestIdentity = (call: IncomingCall, { account }: AdmittedCall, hasParts: boolean): string => {
    let hash = known.get(call);
    if (hash === undefined) {
        const head = [call.method, call.headers["host"] ?? "", call.path, account?.account ?? ""];
        hash = createHash("sha256").update(JSON.stringify(head)).update(call.body).digest("base64url")
            .slice(0, HASH_LENGTH);
        known.set(call, hash);
    }
    return (hasParts ? PROMPT_MARK : MARK) + hash;
};

/**
 * Tells the identity of a request from the identifier of a prompt part.
 *
 * @param suspect - either of them
 */
export const isRequestIdentity = (suspect: string): boolean => suspect.startsWith(MARK);

/**
 * Tells the identity of a request with shared prompt parts from all else.
 *
 * @param suspect - an identity, or the identifier of a prompt part
 */
export const isPromptRequest = (suspect: string): boolean => suspect.startsWith(PROMPT_MARK);
