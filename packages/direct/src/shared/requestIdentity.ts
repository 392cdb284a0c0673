/**
 * Identity of a request that its caller may send again: what it asks for and for whom, but not the attempt.
 *
 * @packageDocumentation
 */

import { createHash } from "node:crypto";
import type { AdmittedCall } from "../types/admittedCall.ts";
import type { IncomingCall } from "../types/call.ts";

/** Identifiers of prompt parts never begin with this character. */
const MARK = ":";
/** Characters of the hash, 6 bits each: callers choose bodies, so collisions must be out of reach. */
const HASH_LENGTH = 22;

/** Identities that were computed; a long body is hashed once. */
const known = new WeakMap<IncomingCall, string>();

/**
 * Returns the identity of a request: a hash of its method, host, path, client account and body.
 *
 * @param call - the request
 * @param admitted - its account
 */
export const requestIdentity = (call: IncomingCall, { account }: AdmittedCall): string => {
    let identity = known.get(call);
    if (identity === undefined) {
        const head = [call.method, call.headers["host"] ?? "", call.path, account?.account ?? ""];
        const hash = createHash("sha256").update(JSON.stringify(head)).update(call.body).digest("base64url");
        identity = `${MARK}${hash.slice(0, HASH_LENGTH)}`;
        known.set(call, identity);
    }
    return identity;
};

/**
 * Tells an identity from the identifier of a prompt part.
 *
 * @param suspect - either of them
 */
export const isRequestIdentity = (suspect: string): boolean => suspect.startsWith(MARK);
