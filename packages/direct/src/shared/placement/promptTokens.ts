/**
 * Length of a request's prompt, as far as its headers tell it.
 *
 * @packageDocumentation
 */

import type { IncomingCall } from "../../types/call.ts";
import type { CallHeaderNames } from "../../types/callHeaders.ts";
import type { EngineTiming } from "../../types/publishedState.ts";

/** Maximum number of prompt parts whose lengths are added; longer lists come from no known caller. */
const MAX_PARTS = 32;
const COUNT = /^\s*\d{1,9}\s*$/;

const readCount = (text: string | undefined): number | undefined =>
    text !== undefined && COUNT.test(text) ? Number(text) : undefined;

const readUsage = (header: string | undefined): number | undefined => {
    const counts = header?.split(",", 3) ?? [];
    return counts.length === 2 ? readCount(counts[0]) : undefined;
};

const readParts = (header: string | undefined): number | undefined => {
    const lengths = header?.split(",", MAX_PARTS + 1).map(part => readCount(part.split(":", 3)[1])) ?? [];
    const isReadable = lengths.length > 0 && lengths.length <= MAX_PARTS && !lengths.includes(undefined);
    return isReadable ? lengths.reduce<number>((sum, length) => sum + (length ?? 0), 0) : undefined;
};

/** Length of a prompt. */
export interface PromptTokens {
    /** Number of tokens, at least 1 and at most what the memory of a server holds. */
    readonly tokens: number;
    /** Name of a header that is present but cannot be read; undefined if there is none. */
    readonly unreadableHeader: string | undefined;
}

/**
 * Reads the length of a prompt from what the caller declares, else from the parts of the prompt, else from the
 * configuration. Callers may declare any figure, so it is only used to place requests, within the engine's memory.
 *
 * @param headers - headers of the request, by lower-case name
 * @param names - header names of the installation
 * @param timing - timing of the engine
 */
export const promptTokens = (
    headers: IncomingCall["headers"],
    names: Pick<CallHeaderNames, "tokenUsage" | "promptParts">,
    timing: EngineTiming,
): PromptTokens => {
    const usage = readUsage(headers[names.tokenUsage]);
    const parts = readParts(headers[names.promptParts]);
    const tokens = usage ?? parts ?? timing.usualPromptTokens;
    const isUsageUnreadable = usage === undefined && headers[names.tokenUsage] !== undefined;
    return {
        tokens: Math.min(timing.memoryTokens, Math.max(1, tokens)),
        unreadableHeader: isUsageUnreadable ? names.tokenUsage : undefined,
    };
};
