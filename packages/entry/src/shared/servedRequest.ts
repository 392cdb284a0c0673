/**
 * A caller's request with everything that its attempts share.
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
import type { AnswerEvent, CallerRequest } from "../types/caller.ts";
import type { AgentPeer } from "./agentPeer.ts";
import type { EntryContext } from "./entryContext.ts";
import { prefixKeyOfBody } from "./prefixKey.ts";

/** Options of a {@link ServedRequest}. */
export interface ServedRequestOptions {
    /** The entry. */
    readonly context: EntryContext;
    /** What the caller sent. */
    readonly caller: CallerRequest;
    /** Rules in force. */
    readonly rules: RuleSet;
    /** The service. */
    readonly service: ServiceRule;
    /** Rule of the call. */
    readonly call: CallRule;
    /** Time that the caller waits, in milliseconds. */
    readonly timeoutMs: number;
    /** Gets the answer's pieces. */
    readonly consume: (event: AnswerEvent) => void;
}

const PRIORITIES: Readonly<Record<PriorityClass, Priority>> = {
    status: Priority.STATUS,
    booking: Priority.BOOKING,
    interactive: Priority.INTERACTIVE,
    batch: Priority.BATCH,
};
/** Time that a refusal at the deadline needs to come back before the caller gives up, in milliseconds. */
const ANSWER_MARGIN_MS = 20;

/** A caller may ask for a less urgent class than the rules give, never for a more urgent one. */
const lessUrgent = (ruled: PriorityClass, asked: PriorityClass | undefined): PriorityClass =>
    asked !== undefined && PRIORITY_CLASSES.indexOf(asked) > PRIORITY_CLASSES.indexOf(ruled) ? asked : ruled;

/** What is known of one request so far. */
export class ServedRequest {
    /** What the caller sent. */
    public readonly caller: CallerRequest;
    /** Service that it is for. */
    public readonly service: ServiceRule;
    /** Rule of the call. */
    public readonly call: CallRule;
    /** Class of urgency. */
    public readonly priority: PriorityClass;
    /** Attempts so far. */
    public attempts = 0;
    /** Whether an attempt may have run. */
    public mayHaveRun = false;
    /** Newest true refusal. */
    public refused: Refused | undefined;
    /** Why the newest attempt broke. */
    public brokenMessage = "";
    private readonly context: EntryContext;
    private readonly rules: RuleSet;
    private readonly consume: (event: AnswerEvent) => void;
    private readonly deadlineMs: number;
    private readonly prefixKey: string;
    private readonly refusedBy = new Set<AgentPeer>();
    private deliveredTokens = 0;
    private deliveredText = "";
    private hasHead = false;
    private hasBody = false;

    /** @param options - the entry, the request and its rules */
    public constructor(options: ServedRequestOptions) {
        this.context = options.context;
        this.caller = options.caller;
        this.rules = options.rules;
        this.service = options.service;
        this.call = options.call;
        this.consume = options.consume;
        this.priority = lessUrgent(options.call.priority, options.caller.priority);
        this.deadlineMs = this.context.runtime.clock.nowMs() + options.timeoutMs;
        this.prefixKey = this.service.kind === "model" ? prefixKeyOfBody(this.caller.body) : "";
    }

    /** Time until the caller gives up, in milliseconds. */
    public get remainingMs(): number {
        return Math.max(0, this.deadlineMs - this.context.runtime.clock.nowMs());
    }

    /** Whether tokens have reached the caller. */
    public get hasTokens(): boolean {
        return this.deliveredTokens > 0;
    }

    /** Whether another attempt can continue the answer as far as the caller has it. */
    public get canContinue(): boolean {
        return this.service.kind === "model" ? !this.hasBody : !this.hasHead;
    }

    /** Most urgent classes have a retry budget of their own. */
    public get isUrgent(): boolean {
        return this.priority === "status" || this.priority === "booking";
    }

    /** An answer that has begun goes before those that have not: its caller already reads it. */
    private get attemptPriority(): Priority {
        const priority = PRIORITIES[this.priority];
        return this.hasTokens ? Math.min(priority, Priority.BOOKING) : priority;
    }

    /**
     * Chooses an agent that has not failed the request yet.
     *
     * @returns the agent, or undefined when none is left
     */
    public chooseAgent(): AgentPeer | undefined {
        const { context, caller } = this;
        const candidates = context.agents.candidates(caller.service).filter(peer =>
            !this.refusedBy.has(peer)
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
     * Leaves an agent out of the next choices.
     *
     * @param peer - an agent that refused or failed
     */
    public exclude(peer: AgentPeer): void {
        this.refusedBy.add(peer);
    }

    /** Lets all agents be chosen again. */
    public includeAll(): void {
        this.refusedBy.clear();
    }

    /**
     * Makes the next attempt.
     *
     * @param ticket - ticket of the agent for a request that may not be repeated
     * @returns the message to the agent
     */
    public nextAttempt(ticket = ""): RunRequest {
        this.attempts++;
        const { caller, call } = this;
        const skippedTokens = this.hasTokens && isFaultSeeded("entry.resume-off-by-one") ? 1 : 0;
        return create(RunRequestSchema, {
            requestId: caller.requestId,
            attempt: this.attempts,
            entry: this.context.instance,
            clientAccount: caller.account,
            accountWeight: this.rules.accounts.get(caller.account)?.weight ?? 1,
            service: caller.service,
            priority: this.attemptPriority,
            remainingMs: Math.max(1, Math.floor(this.remainingMs - ANSWER_MARGIN_MS)),
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
     * Passes a piece of the answer on; the head goes only once.
     *
     * @param event - the piece
     * @param peer - the agent that sent it
     */
    public deliver(event: AnswerEvent, peer: AgentPeer): void {
        if (event.kind === "tokens") {
            this.noteTokens(event.texts, peer);
        }
        if (event.kind === "head") {
            if (this.hasHead) {
                return;
            }
            this.hasHead = true;
        }
        this.hasBody ||= event.kind === "body";
        this.consume(event);
    }

    private noteTokens(texts: readonly string[], peer: AgentPeer): void {
        if (!this.hasTokens && this.prefixKey !== "") {
            peer.notePrefix(this.prefixKey);
        }
        this.deliveredTokens += texts.length;
        this.deliveredText += texts.join("");
    }
}
