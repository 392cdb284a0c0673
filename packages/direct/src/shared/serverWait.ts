/**
 * Lets a started stream wait until servers take it again.
 *
 * @packageDocumentation
 */

import { type Clock, sleep } from "@magnolialock/kernel";
import type { NextStep } from "../types/nextStep.ts";
import type { RouteRule } from "../types/publishedState.ts";
import type { CallProgress } from "./callLog.ts";
import { streamStallLimitMs } from "./streamStallLimit.ts";

/** Options of a {@link ServerWait}. */
export interface ServerWaitOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Route of the request. */
    readonly route: RouteRule;
    /** Progress of the request. */
    readonly progress: CallProgress;
}

/** Time before the stall limit of the caller at which a stalled stream is aborted, in milliseconds. */
const STALL_MARGIN_MS = 150;
/** Polling interval of a stream that waits for a server that takes it, in milliseconds. */
const SERVER_POLL_MS = 50;

/** Waits of one request. */
export class ServerWait {
    private readonly options: ServerWaitOptions;

    /** @param options - the request and its progress */
    public constructor(options: ServerWaitOptions) {
        this.options = options;
    }

    /**
     * Lets a started stream wait until shortly before its caller gives up; other requests are refused.
     *
     * @param reason - why they are refused
     * @param signal - ends the wait
     * @returns `again` after a short wait, or `stop`
     */
    public async orStop(reason: string, signal: AbortSignal): Promise<NextStep> {
        const { clock, progress: { cursor, sentAttempts }, route } = this.options;
        const waitLimitMs = cursor.lastEventMs + streamStallLimitMs(route) - STALL_MARGIN_MS;
        const mayResume = cursor.isHeadSent && route.repeat !== "never" && sentAttempts < route.maxAttempts;
        if (!mayResume || clock.nowMs() >= waitLimitMs) {
            return { kind: "stop", reason };
        }
        await sleep(clock, SERVER_POLL_MS, signal).catch(() => {});
        return { kind: "again" };
    }
}
