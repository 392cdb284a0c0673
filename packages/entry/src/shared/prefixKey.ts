/**
 * Keys of prompt prefixes, for routing to replicas that have computed them before.
 *
 * @packageDocumentation
 */

import { contentHash } from "@magnolialock/kernel";

/** Characters of a prompt that make its key. */
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
 * Makes the key of a prompt.
 *
 * @param prompt - the prompt, or as much of it as the engine tells
 * @returns the key; empty for an empty prompt
 */
export const prefixKeyOf = (prompt: string): string =>
    prompt === "" ? "" : contentHash(Buffer.from(prompt.slice(0, PREFIX_CHARACTERS)));

/**
 * Makes the key of a model request.
 *
 * @param body - body of the request
 * @returns the key; empty when the body has no prompt
 */
export const prefixKeyOfBody = (body: Uint8Array): string => {
    try {
        return prefixKeyOf(promptOf(JSON.parse(Buffer.from(body).toString()) as PromptBody));
    }
    catch {
        return "";
    }
};
