/**
 * A request in flight, with the state that all its attempts share.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { isFaultSeeded } from "@magnolialock/kernel";
import { Priority, type Refused, type RunRequest, RunRequestSchema } from "@magnolialock/protocol";
import {
    type CallRule,
    PRIORITY_CLASSES,
    type PriorityClass,
    type RuleSet,
    type ServiceRule,
} from "@magnolialock/rules";
import type { AnswerEvent, AnswerHead, CallerRequest } from "../types/caller.ts";
import type { AgentPeer } from "./agentPeer.ts";
import type { EntryContext } from "./entryContext.ts";
import { prefixKeyOfBody } from "./prefixKey.ts";

/** Options of an {@link InFlightRequest}. */
export interface InFlightRequestOptions {
    /** Shared state of the entry. */
    readonly context: EntryContext;
    /** Request as received from the caller. */
    readonly caller: CallerRequest;
    /** Rules in force. */
    readonly rules: RuleSet;
    /** Service that the request is addressed to. */
    readonly service: ServiceRule;
    /** Rule that matches the call. */
    readonly call: CallRule;
    /** Time until the caller's deadline, in milliseconds. */
    readonly timeoutMs: number;
    /** Receives the events of the answer. */
    readonly consume: (event: AnswerEvent) => void;
}

const PRIORITIES: Readonly<Record<PriorityClass, Priority>> = {
    status: Priority.STATUS,
    booking: Priority.BOOKING,
    interactive: Priority.INTERACTIVE,
    batch: Priority.BATCH,
};
/** Margin between an attempt's deadline and the caller's, in milliseconds: refusals still arrive in time. */
const RESPONSE_MARGIN_MS = 20;

/** A caller may request a lower priority than the rules assign, never a higher one. */
const effectivePriority = (configured: PriorityClass, requested: PriorityClass | undefined): PriorityClass =>
    requested !== undefined && PRIORITY_CLASSES.indexOf(requested) > PRIORITY_CLASSES.indexOf(configured)
        ? requested
        : configured;

const contentTypeOf = ({ headers }: AnswerHead): string | undefined =>
    headers.find(([name]) => name.toLowerCase() === "content-type")?.[1];

const continuesAnswer = (first: AnswerHead, next: AnswerHead): boolean =>
    first.status === next.status && contentTypeOf(first) === contentTypeOf(next);

/** State of one request across its attempts. */
export class InFlightRequest {
    /** Request as received from the caller. */
    public readonly caller: CallerRequest;
    /** Service that the request is addressed to. */
    public readonly service: ServiceRule;
    /** Rule that matches the call. */
    public readonly call: CallRule;
    /** Effective priority class. */
    public readonly priority: PriorityClass;
    /** Number of attempts so far. */
    public attempts = 0;
    /** Whether an attempt may have run. */
    public mayHaveRun = false;
    /** Latest refusal, which guarantees that the refused attempt did not run. */
    public lastRefusal: Refused | undefined;
    /** Error of the latest attempt that broke. */
    public lastErrorMessage = "";
    private readonly context: EntryContext;
    private readonly rules: RuleSet;
    private readonly consume: (event: AnswerEvent) => void;
    private readonly deadlineMs: number;
    private readonly prefixKey: string;
    private readonly excludedPeers = new Set<AgentPeer>();
    private deliveredTokens = 0;
    private deliveredText = "";
    private deliveredHead: AnswerHead | undefined;
    private hasDeliveredBody = false;

    /** @param options - entry, request and rules */
    public constructor(options: InFlightRequestOptions) {
        this.context = options.context;
        this.caller = options.caller;
        this.rules = options.rules;
        this.service = options.service;
        this.call = options.call;
        this.consume = options.consume;
        this.priority = effectivePriority(options.call.priority, options.caller.priority);
        this.deadlineMs = this.context.runtime.clock.nowMs() + options.timeoutMs;
        this.prefixKey = this.service.kind === "model" ? prefixKeyOfBody(this.caller.body) : "";
    }

    /** Time until the caller's deadline, in milliseconds. */
    public get remainingMs(): number {
        return Math.max(0, this.deadlineMs - this.context.runtime.clock.nowMs());
    }

    /** Whether tokens have been delivered to the caller. */
    public get hasDeliveredTokens(): boolean {
        return this.deliveredTokens > 0;
    }

    /** Whether another attempt can continue the answer from what the caller has received. */
    public get isResumable(): boolean {
        return this.service.kind === "model" ? !this.hasDeliveredBody : !this.deliveredHead;
    }

    /** Whether the request belongs to the most urgent classes, which have their own retry budget. */
    public get isUrgent(): boolean {
        return this.priority === "status" || this.priority === "booking";
    }

    /** An answer that has started takes precedence over others, because its caller is already reading it. */
    private get attemptPriority(): Priority {
        const priority = PRIORITIES[this.priority];
        return this.hasDeliveredTokens ? Math.min(priority, Priority.BOOKING) : priority;
    }

    /**
     * Chooses an agent that is not excluded for this request.
     *
     * @returns the agent; undefined when no candidate is left
     */
    public chooseAgent(): AgentPeer | undefined {
        const { context, caller } = this;
        const candidates = context.agents.candidates(caller.service).filter(peer =>
            !this.excludedPeers.has(peer)
        );
        if (candidates.length === 0) {
            return undefined;
        }
        return context.policy.choose(candidates, {
            dataCentre: context.dataCentre,
            random: context.runtime.random,
            prefixKey: this.prefixKey,
            bodyBytes: caller.body.length,
        });
    }

    /**
     * Excludes an agent from further attempts at this request.
     *
     * @param peer - agent that refused, failed or is already in use for the request
     */
    public exclude(peer: AgentPeer): void {
        this.excludedPeers.add(peer);
    }

    /** Makes all agents eligible again. */
    public clearExclusions(): void {
        this.excludedPeers.clear();
    }

    /**
     * Creates the message of the next attempt.
     *
     * @param ticket - ticket of the agent; empty for a repeatable request
     * @returns the message to send to the agent
     */
    public createAttempt(ticket = ""): RunRequest {
        this.attempts++;
        const { caller, call } = this;
        const skippedTokens = this.hasDeliveredTokens && isFaultSeeded("entry.resume-off-by-one") ? 1 : 0;
        return create(RunRequestSchema, {
            requestId: caller.requestId,
            attempt: this.attempts,
            entry: this.context.instance,
            clientAccount: caller.account,
            accountWeight: this.rules.accounts.get(caller.account)?.weight ?? 1,
            service: caller.service,
            priority: this.attemptPriority,
            remainingMs: Math.max(1, Math.floor(this.remainingMs - RESPONSE_MARGIN_MS)),
            isRepeatable: call.isRepeatable,
            ticket,
            revision: BigInt(this.context.configuration.current?.revision ?? 0),
            method: caller.method,
            path: caller.path,
            headers: caller.headers.map(([name, value]) => ({ name, value })),
            body: caller.body,
            resumeFromToken: this.deliveredTokens + skippedTokens,
            resumedText: this.deliveredText,
            prefixKey: this.prefixKey,
        });
    }

    /**
     * Checks whether the body under a head may follow what the caller has received: the error of another backend
     * server must not become a part of the answer that has begun.
     *
     * @param head - head of an attempt's answer
     * @returns why it may not; undefined if it may
     */
    public rejectHead(head: AnswerHead): string | undefined {
        const { deliveredHead } = this;
        return !deliveredHead || continuesAnswer(deliveredHead, head)
            ? undefined
            : `status ${head.status} cannot continue the answer that has begun`;
    }

    /**
     * Delivers an event of the answer to the caller; the head is delivered only once.
     *
     * @param event - event of the answer
     * @param peer - the agent that sent it
     */
    public deliver(event: AnswerEvent, peer: AgentPeer): void {
        if (event.kind === "tokens") {
            this.recordTokens(event.texts, peer);
        }
        if (event.kind === "head") {
            if (this.deliveredHead) {
                return;
            }
            this.deliveredHead = event;
        }
        this.hasDeliveredBody ||= event.kind === "body";
        this.consume(event);
    }

    private recordTokens(texts: readonly string[], peer: AgentPeer): void {
        if (!this.hasDeliveredTokens && this.prefixKey !== "") {
            peer.recordPrefix(this.prefixKey);
        }
        this.deliveredTokens += texts.length;
        this.deliveredText += texts.join("");
    }
}
