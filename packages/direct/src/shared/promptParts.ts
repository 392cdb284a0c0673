/**
 * Parts of a prompt that requests share. The last part belongs to one request or one session, so it is left
 * out.
 *
 * @packageDocumentation
 */

import { contentHash } from "@magnolialock/kernel";
import type { IncomingCall } from "../types/call.ts";
import type { CallHeaderNames } from "../types/callHeaders.ts";

/** Maximum number of parts that are read; longer lists come from no known caller. */
const MAX_PARTS = 32;
/** Longer identifiers are replaced by their hash: instances send identifiers to each other in datagrams. */
const MAX_IDENTIFIER_LENGTH = 24;

const readIdentifier = (entry: string): string => {
    const identifier = entry.split(":", 1)[0]?.trim().toLowerCase() ?? "";
    return identifier.length <= MAX_IDENTIFIER_LENGTH ? identifier : contentHash(Buffer.from(identifier));
};

/**
 * Reads the shared parts of a request's prompt.
 *
 * @param call - the request
 * @param names - header names of the installation
 * @returns their identifiers in lower case, without repetitions; empty if the request declares none
 */
export const sharedPromptParts = (call: IncomingCall, names: CallHeaderNames): readonly string[] => {
    const entries = call.headers[names.promptParts]?.split(",", MAX_PARTS + 1) ?? [];
    return [...new Set(entries.slice(0, -1).map(readIdentifier))].filter(identifier => identifier !== "");
};
