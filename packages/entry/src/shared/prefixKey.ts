/**
 * Keys of prompt prefixes, for routing requests to replicas that have the prefix cached.
 *
 * @packageDocumentation
 */

import { contentHash } from "@magnolialock/kernel";

/** Number of leading characters of a prompt that its key is computed from. */
const PREFIX_CHARACTERS = 64;

interface PromptBody {
    readonly prompt?: unknown;
    readonly messages?: unknown;
}

const promptOf = ({ prompt, messages }: PromptBody): string => {
    if (typeof prompt === "string") {
        return prompt;
    }
    return messages === undefined ? "" : JSON.stringify(messages);
};

/**
 * Computes the prefix key of a prompt.
 *
 * @param prompt - the prompt, or the part of it that the engine reports
 * @returns the key; empty for an empty prompt
 */
export const prefixKeyOf = (prompt: string): string =>
    prompt === "" ? "" : contentHash(Buffer.from(prompt.slice(0, PREFIX_CHARACTERS)));

/**
 * Computes the prefix key of a model request.
 *
 * @param body - body of the request
 * @returns the key; empty when the body is not JSON or has no prompt
 */
export const prefixKeyOfBody = (body: Uint8Array): string => {
    try {
        return prefixKeyOf(promptOf(JSON.parse(Buffer.from(body).toString()) as PromptBody));
    }
    catch {
        return "";
    }
};
