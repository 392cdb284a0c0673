/**
 * Callers of a scenario: they send requests, keep what they get and retry with their tickets.
 *
 * @packageDocumentation
 */

import type { AnswerEvent, CallerRequest } from "@magnolialock/entry";
import { branded, type ClientAccountId, type RequestId, type ServiceName } from "@magnolialock/kernel";
import { match } from "ts-pattern";
import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import type { CallerTry, RequestKind, SeenEvent } from "../oracle/observations.ts";

/** One request to send. */
export interface OutgoingRequest {
    /** Its identifier. */
    readonly requestId: string;
    /** What it asks for. */
    readonly kind: RequestKind;
    /** Entry to use. */
    readonly entry: string;
    /** Tokens that a draft asks for. */
    readonly tokens?: number;
    /** Client account; the first one by default. */
    readonly account?: string;
    /** Ticket of an earlier try. */
    readonly ticket?: string | undefined;
}

/**
 * Gives the prompt of a draft.
 *
 * @param requestId - identifier of the request
 * @returns the prompt
 */
export const promptOf = (requestId: string): string => `prompt of ${requestId}`;

const toSeenEvent = (event: Exclude<AnswerEvent, { readonly kind: "ticket"; }>): SeenEvent =>
    match(event)
        .with({ kind: "head" }, ({ status }): SeenEvent => ({ kind: "head", status }))
        .with({ kind: "tokens" }, ({ texts }): SeenEvent => ({ kind: "text", text: texts.join("") }))
        .with(
            { kind: "body" },
            ({ bytes }): SeenEvent => ({ kind: "text", text: Buffer.from(bytes).toString() }),
        )
        .with({ kind: "end" }, (): SeenEvent => ({ kind: "end" }))
        .with({ kind: "failed" }, ({ failure }): SeenEvent => ({
            kind: "failed",
            ran: failure.ran,
            code: failure.code,
        }))
        .exhaustive();

const recordEvent = (callerTry: CallerTry, event: AnswerEvent, nowMs: number): void => {
    if (callerTry.isLost) {
        return;
    }
    if (event.kind === "ticket") {
        callerTry.ticket = event.ticket;
        return;
    }
    callerTry.events.push(toSeenEvent(event));
    if (event.kind === "end" || event.kind === "failed") {
        callerTry.endedMs = nowMs;
    }
};

/** All requests of a run. */
export class ScenarioCallers {
    /** Tries in the order of sending. */
    public readonly tries: CallerTry[] = [];
    private readonly abortControllers = new Map<CallerTry, AbortController>();

    /**
     * @param fleet - fleet that takes the requests
     * @param shape - its services and accounts
     */
    public constructor(private readonly fleet: VirtualFleet, private readonly shape: FleetShape) {}

    /** Whether a caller still waits. */
    public get hasOpenTries(): boolean {
        return this.tries.some(attempt => attempt.endedMs === undefined && !attempt.isLost);
    }

    /**
     * Sends a request.
     *
     * @param outgoing - the request
     */
    public send(outgoing: OutgoingRequest): void {
        const attempt: CallerTry = {
            requestId: outgoing.requestId,
            kind: outgoing.kind,
            entry: outgoing.entry,
            tokens: outgoing.tokens ?? 0,
            sentMs: this.fleet.clock.nowMs(),
            events: [],
            ticket: outgoing.ticket,
            endedMs: undefined,
            isLost: false,
        };
        const abort = new AbortController();
        this.tries.push(attempt);
        this.abortControllers.set(attempt, abort);
        const runtime = this.fleet.entries.get(outgoing.entry)?.runtime;
        if (!runtime?.process.isAlive) {
            attempt.isLost = true;
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
     * @param entry - entry to use
     */
    public retry(requestId: string, entry: string): void {
        const last = this.lastTry(requestId);
        if (last) {
            const { kind, tokens, ticket } = last;
            this.send({ requestId, kind, tokens, ticket, entry });
        }
    }

    /**
     * Lets the caller of a request give up.
     *
     * @param requestId - identifier of the request
     */
    public giveUp(requestId: string): void {
        const last = this.lastTry(requestId);
        if (last && last.endedMs === undefined) {
            last.isLost = true;
            this.fleet.entries.get(last.entry)?.runtime.process.run(() =>
                this.abortControllers.get(last)?.abort()
            );
        }
    }

    /**
     * Breaks the connections to an entry that dies.
     *
     * @param entry - name of the entry
     */
    public dropConnections(entry: string): void {
        for (const attempt of this.tries) {
            if (attempt.entry === entry && attempt.endedMs === undefined) {
                attempt.isLost = true;
            }
        }
    }

    /**
     * Finds the last try of a request.
     *
     * @param requestId - identifier of the request
     * @returns the try, or undefined
     */
    public lastTry(requestId: string): CallerTry | undefined {
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
