/**
 * Keeps one request from crashing one backend server after the other: refuses it while it or a part of its prompt
 * is in quarantine, and reports the server that ends before the answer is under way.
 *
 * @packageDocumentation
 */

import { hash32 } from "@magnolialock/kernel";
import type { AdmittedCall } from "../types/admittedCall.ts";
import type { IncomingCall } from "../types/call.ts";
import type { QuarantineDecision } from "./crashQuarantine.ts";
import type { DirectContext } from "./directContext.ts";
import { crashReported } from "./directEvents.ts";
import { sharedPromptParts } from "./promptParts.ts";
import { isRequestIdentity, requestIdentity } from "./requestIdentity.ts";
import type { TrackedServer } from "./trackedServer.ts";

/**
 * Says why a request in quarantine is refused.
 *
 * @param decision - the decision
 */
export const refusalReason = (
    { suspect }: Extract<QuarantineDecision, { readonly kind: "refused"; }>,
): string =>
    isRequestIdentity(suspect)
        ? `servers end as they answer this request, ${suspect}`
        : `servers end as they answer prompts with part ${suspect}`;

/** Guards the attempts of one request. */
export class CrashGuard {
    /** Shared parts of the request's prompt. */
    public readonly parts: readonly string[];
    private isTrial = false;

    /**
     * @param context - state of the direct entry
     * @param call - the request
     * @param admitted - its route, account and service
     */
    public constructor(
        private readonly context: DirectContext,
        private readonly call: IncomingCall,
        private readonly admitted: AdmittedCall,
    ) {
        this.parts = sharedPromptParts(call, context.options.headers);
        context.quarantine.recordRequest(this.parts);
    }

    /**
     * Decides whether the request may be sent now.
     *
     * @returns the decision; a trial stays one until its attempt has ended
     */
    public check(): QuarantineDecision {
        if (this.isTrial) {
            return { kind: "trial" };
        }
        const decision = this.context.quarantine.check(this.suspects);
        this.isTrial = decision.kind === "trial";
        return decision;
    }

    /** Records that an answer to the request is under way. */
    public recordUnderWay(): void {
        this.context.quarantine.recordSound(this.suspects);
    }

    /**
     * Finds out whether a server has ended, after an attempt there broke off before its answer was under way.
     *
     * @param server - the server
     * @param sentMs - time at which the attempt was sent, in milliseconds
     * @returns whether the request may be what ended the server, so that it must not be sent to another one
     */
    public async suspectsRequest(server: TrackedServer, sentMs: number): Promise<boolean> {
        const { quarantine, options } = this.context;
        const { address, id } = server.entry;
        if (options.directory.isLeaving(server)) {
            return false;
        }
        const crashedMs = options.runtime.clock.nowMs();
        const servedMs = this.servedMs(server);
        if (await options.upstreams.probe(address) !== "refused") {
            return false;
        }
        const requestId = this.call.headers[options.headers.requestId] ?? "";
        const attempt = hash32(`${requestId} ${id}`);
        options.runtime.events.emit(crashReported, {
            requestId,
            server: id,
            evidence: attempt.toString(16),
            request: this.identity,
            promptParts: this.parts.join(" "),
            ranMs: Math.round(crashedMs - sentMs),
        });
        options.metrics.countCrashReport();
        const isKnownSound = this.parts.length > 0 && quarantine.areKnownSound(this.parts, crashedMs);
        quarantine.recordCrash({
            id: attempt,
            server: server.reportKey,
            crashedMs,
            sentMs,
            servedMs,
            suspects: [...this.parts, this.identity],
        });
        this.isTrial = false;
        return !isKnownSound;
    }

    private get identity(): string {
        return requestIdentity(this.call, this.admitted, this.parts.length > 0);
    }

    /** What may be to blame; the identity costs a hash and matters only while requests are accused. */
    private get suspects(): readonly string[] {
        return this.context.quarantine.accusesRequests ? [...this.parts, this.identity] : this.parts;
    }

    /** Time of the last answer that the server's group has begun; servers without a group do not wait for others. */
    private servedMs({ groupName }: TrackedServer): number {
        const { service, spec } = this.admitted;
        const nowMs = this.context.options.runtime.clock.nowMs();
        return spec?.engine?.experts
            ? nowMs - this.context.service(service).groups.named(groupName).sinceUpMs
            : nowMs;
    }
}
