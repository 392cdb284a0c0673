/**
 * Callers of a scenario: they send requests, record the answers and retry with their tickets.
 *
 * @packageDocumentation
 */

import type { AnswerEvent, CallerRequest } from "@magnolialock/entry";
import { branded, type ClientAccountId, type RequestId, type ServiceName } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import type { CallerAttempt, ObservedEvent, RequestKind } from "../oracle/observations.ts";

/** A request to send. */
export interface OutgoingRequest {
    /** Identifier of the request. */
    readonly requestId: string;
    /** Kind of the request. */
    readonly kind: RequestKind;
    /** Name of the entry to send it to. */
    readonly entry: string;
    /** Length of the answer to a draft, in tokens. */
    readonly tokens?: number;
    /** Name of the client account; by default the fleet's first one. */
    readonly account?: string;
    /** Ticket from an earlier try of the request. */
    readonly ticket?: string | undefined;
}

/**
 * Returns the prompt of a draft.
 *
 * @param requestId - identifier of the request
 * @returns the prompt
 */
export const promptOf = (requestId: string): string => `prompt of ${requestId}`;

const toObservedEvent = (event: Exclude<AnswerEvent, { readonly kind: "ticket"; }>): ObservedEvent =>
    match(event)
        .with({ kind: "head" }, ({ status }): ObservedEvent => ({ kind: "head", status }))
        .with({ kind: "tokens" }, ({ texts }): ObservedEvent => ({ kind: "text", text: texts.join("") }))
        .with(
            { kind: "body" },
            ({ bytes }): ObservedEvent => ({ kind: "text", text: Buffer.from(bytes).toString() }),
        )
        .with({ kind: "end" }, (): ObservedEvent => ({ kind: "end" }))
        .with({ kind: "failed" }, ({ failure }): ObservedEvent => ({
            kind: "failed",
            ran: failure.ran,
            code: failure.code,
        }))
        .exhaustive();

const recordEvent = (attempt: CallerAttempt, event: AnswerEvent, nowMs: number): void => {
    if (attempt.isAbandoned) {
        return;
    }
    if (event.kind === "ticket") {
        attempt.ticket = event.ticket;
        return;
    }
    attempt.events.push(toObservedEvent(event));
    if (event.kind === "end" || event.kind === "failed") {
        attempt.endedMs = nowMs;
    }
};

/** Sends all requests of a run and records every try. */
export class ScenarioCallers {
    /** All tries, in the order of sending. */
    public readonly tries: CallerAttempt[] = [];
    private readonly abortControllers = new Map<CallerAttempt, AbortController>();

    /**
     * @param fleet - fleet that receives the requests
     * @param shape - services and client accounts of the fleet
     */
    public constructor(private readonly fleet: VirtualFleet, private readonly shape: FleetShape) {}

    /** Whether any caller still waits for the end of an answer. */
    public get hasOpenTries(): boolean {
        return this.tries.some(attempt => attempt.endedMs === undefined && !attempt.isAbandoned);
    }

    /**
     * Sends a request. The try counts as abandoned if its entry is not running.
     *
     * @param outgoing - the request
     */
    public send(outgoing: OutgoingRequest): void {
        const attempt: CallerAttempt = {
            requestId: outgoing.requestId,
            kind: outgoing.kind,
            entry: outgoing.entry,
            tokens: outgoing.tokens ?? 0,
            sentMs: this.fleet.clock.nowMs(),
            events: [],
            ticket: outgoing.ticket,
            endedMs: undefined,
            isAbandoned: false,
        };
        const abort = new AbortController();
        this.tries.push(attempt);
        this.abortControllers.set(attempt, abort);
        const runtime = this.fleet.entries.get(outgoing.entry)?.runtime;
        if (!runtime?.process.isAlive) {
            attempt.isAbandoned = true;
            return;
        }
        runtime.process.run(() => {
            void this.fleet.call(
                outgoing.entry,
                this.toRequest(outgoing),
                event => recordEvent(attempt, event, this.fleet.clock.nowMs()),
                abort.signal,
            );
        });
    }

    /**
     * Sends a request again with the ticket of its last try.
     *
     * @param requestId - identifier of the request
     * @param entry - name of the entry to send it to
     */
    public retry(requestId: string, entry: string): void {
        const last = this.lastTry(requestId);
        if (last) {
            const { kind, tokens, ticket } = last;
            this.send({ requestId, kind, tokens, ticket, entry });
        }
    }

    /**
     * Makes the caller of a request close its connection, if the last try has not ended.
     *
     * @param requestId - identifier of the request
     */
    public giveUp(requestId: string): void {
        const last = this.lastTry(requestId);
        if (last && last.endedMs === undefined) {
            last.isAbandoned = true;
            this.fleet.entries.get(last.entry)?.runtime.process.run(() =>
                this.abortControllers.get(last)?.abort()
            );
        }
    }

    /**
     * Marks all open tries at an entry as abandoned, because its connections broke.
     *
     * @param entry - name of the entry
     */
    public dropConnections(entry: string): void {
        for (const attempt of this.tries) {
            if (attempt.entry === entry && attempt.endedMs === undefined) {
                attempt.isAbandoned = true;
            }
        }
    }

    /**
     * Finds the last try of a request.
     *
     * @param requestId - identifier of the request
     * @returns the try; undefined if the request was never sent
     */
    public lastTry(requestId: string): CallerAttempt | undefined {
        return this.tries.findLast(attempt => attempt.requestId === requestId);
    }

    private toRequest(outgoing: OutgoingRequest): CallerRequest {
        const { modelService, plainService, accounts } = this.shape;
        const common = {
            requestId: branded<RequestId>(outgoing.requestId),
            account: branded<ClientAccountId>(outgoing.account ?? accounts[0]?.name ?? ""),
            headers: [],
            ...(outgoing.ticket === undefined ? {} : { ticket: outgoing.ticket }),
        };
        return match(outgoing.kind)
            .with("draft", (): CallerRequest => ({
                ...common,
                service: branded<ServiceName>(modelService),
                method: "POST",
                path: "/v1/completions",
                body: Buffer.from(JSON.stringify({
                    prompt: promptOf(outgoing.requestId),
                    max_tokens: outgoing.tokens ?? 0,
                    stream: true,
                })),
            }))
            .with("booking", (): CallerRequest => ({
                ...common,
                service: branded<ServiceName>(plainService),
                method: "POST",
                path: "/bookings",
                body: Buffer.from(outgoing.requestId),
            }))
            .with("status", (): CallerRequest => ({
                ...common,
                service: branded<ServiceName>(plainService),
                method: "GET",
                path: `/status/${outgoing.requestId}`,
                body: new Uint8Array(),
            }))
            .exhaustive();
    }
}
