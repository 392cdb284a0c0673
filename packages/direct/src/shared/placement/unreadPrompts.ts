/**
 * Prompts that this instance has sent to model servers and that the servers have not read yet.
 *
 * @packageDocumentation
 */

import type { Clock, EventLog } from "@magnolialock/kernel";
import type { IncomingCall } from "../../types/call.ts";
import type { CallHeaderNames } from "../../types/callHeaders.ts";
import type { EngineTiming } from "../../types/publishedState.ts";
import type { TrackedServer } from "../trackedServer.ts";
import type { PassBudget } from "./passBudget.ts";
import { tokenUsageUnreadable } from "./placementEvents.ts";
import { promptTokens } from "./promptTokens.ts";

/** Options of {@link UnreadPrompts}. */
export interface UnreadPromptsOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Event log of the process. */
    readonly events: EventLog;
    /** Header names of the installation. */
    readonly names: CallHeaderNames;
    /** Returns the timing of the engine; undefined where it is not known. */
    readonly timing: () => EngineTiming | undefined;
    /** Pass budget of the service; it learns the lengths of the prompts. */
    readonly budget: Pick<PassBudget, "recordPrompt">;
}

/** Time between two log lines about headers that cannot be read, in milliseconds. */
const UNREADABLE_LOG_PERIOD_MS = 10_000;

const NOTHING = (): void => {};

/** Prompts for the servers of one service. */
export class UnreadPrompts {
    private nextUnreadableLogMs = Number.NEGATIVE_INFINITY;

    /** @param options - clock, log, header names and timing */
    public constructor(private readonly options: UnreadPromptsOptions) {}

    /**
     * Returns the length of a request's prompt.
     *
     * @param headers - headers of the request
     * @returns the length, in tokens; undefined where the timing is not known
     */
    public lengthOf(headers: IncomingCall["headers"]): number | undefined {
        const { clock, events, names, timing } = this.options;
        const engineTiming = timing();
        if (!engineTiming) {
            return undefined;
        }
        const { tokens, unreadableHeader } = promptTokens(headers, names, engineTiming);
        if (unreadableHeader !== undefined && clock.nowMs() >= this.nextUnreadableLogMs) {
            this.nextUnreadableLogMs = clock.nowMs() + UNREADABLE_LOG_PERIOD_MS;
            events.emit(tokenUsageUnreadable, {
                requestId: headers[names.requestId],
                header: unreadableHeader,
            });
        }
        return tokens;
    }

    /**
     * Counts a prompt as unread at a server.
     *
     * @param server - the server that the request is sent to
     * @param headers - headers of the request
     * @returns counts the prompt as read; further calls have no effect
     */
    public begin(server: TrackedServer, headers: IncomingCall["headers"]): () => void {
        const tokens = this.lengthOf(headers);
        if (tokens === undefined) {
            return NOTHING;
        }
        this.options.budget.recordPrompt(tokens);
        server.unreadPromptTokens += tokens;
        let isUnread = true;
        return () => {
            if (isUnread) {
                isUnread = false;
                server.unreadPromptTokens -= tokens;
            }
        };
    }
}
