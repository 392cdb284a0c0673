/**
 * Lets a request wait until servers take it again, where it can still be served in time.
 *
 * @packageDocumentation
 */

import { sleep } from "@magnolialock/kernel";
import type { AdmittedCall } from "../types/admittedCall.ts";
import type { NextStep } from "../types/nextStep.ts";
import type { QueuedCall } from "./admissionQueue.ts";
import type { CallProgress } from "./callLog.ts";
import type { DirectContext } from "./directContext.ts";
import { groupWaitMs } from "./groupWait.ts";
import { streamStallLimitMs } from "./streamStallLimit.ts";
import type { TrackedServer } from "./trackedServer.ts";

/** Options of a {@link ServerWait}. */
export interface ServerWaitOptions {
    /** State of the direct entry. */
    readonly context: DirectContext;
    /** The request with its route and service. */
    readonly admitted: AdmittedCall;
    /** Progress of the request. */
    readonly progress: CallProgress;
    /** Returns its properties in the admission queue. */
    readonly queuedCall: () => QueuedCall;
}

/** Time before the stall limit of the caller at which a stalled stream is aborted, in milliseconds. */
const STALL_MARGIN_MS = 150;
/** Polling interval of a request that waits for a server that takes it, in milliseconds. */
const SERVER_POLL_MS = 50;

/** Waits of one request. */
export class ServerWait {
    private readonly options: ServerWaitOptions;

    /** @param options - the request and its progress */
    public constructor(options: ServerWaitOptions) {
        this.options = options;
    }

    private get nowMs(): number {
        return this.options.context.options.runtime.clock.nowMs();
    }

    /**
     * Waits for a group of model servers if it can be expected back in time.
     *
     * @param servers - servers of the service, whose groups are all down
     * @param signal - ends the wait
     * @returns `again` after a short wait, or `stop`
     */
    public async forGroup(servers: readonly TrackedServer[], signal: AbortSignal): Promise<NextStep> {
        const reason = "the group of model servers is down";
        const { admitted: { service }, context, progress } = this.options;
        const { isReturning, latestStartMs } = this.options.queuedCall();
        const waitMs = groupWaitMs({
            isReturning,
            downForMs: context.service(service).groups.downForMs(servers),
            sinceServerAddedMs: context.options.directory.sinceAddedMs(service),
            patienceMs: latestStartMs - this.nowMs,
        });
        if (progress.sentAttempts > 0 || waitMs <= 0) {
            return this.orStop(reason, signal);
        }
        return this.pause(signal);
    }

    /**
     * Lets a started stream wait until shortly before its caller gives up; other requests are refused.
     *
     * @param reason - why they are refused
     * @param signal - ends the wait
     * @returns `again` after a short wait, or `stop`
     */
    public async orStop(reason: string, signal: AbortSignal): Promise<NextStep> {
        const { admitted: { route }, progress: { cursor, sentAttempts } } = this.options;
        const waitLimitMs = cursor.lastEventMs + streamStallLimitMs(route) - STALL_MARGIN_MS;
        const mayResume = cursor.isHeadSent && route.repeat !== "never" && sentAttempts < route.maxAttempts;
        return mayResume && this.nowMs < waitLimitMs ? this.pause(signal) : { kind: "stop", reason };
    }

    private async pause(signal: AbortSignal): Promise<NextStep> {
        await sleep(this.options.context.options.runtime.clock, SERVER_POLL_MS, signal).catch(() => {});
        return { kind: "again" };
    }
}
