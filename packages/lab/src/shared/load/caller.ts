/**
 * One caller's request to a virtual fleet, with a check of the answer against what was asked.
 *
 * @packageDocumentation
 */

import type { AnswerEvent, CallerRequest } from "@magnolialock/entry";
import {
    branded,
    type ClientAccountId,
    createDeferred,
    type RequestId,
    type ServiceName,
} from "@magnolialock/kernel";
import type { FleetShape } from "../fleet/fleetRules.ts";
import type { VirtualFleet } from "../fleet/virtualFleet.ts";
import { tokenText } from "../standIns/engineModel.ts";
import type { CallKind, CallRecord } from "./callRecord.ts";

/** What a caller asks for. */
export interface PlannedCall {
    /** Identifier of the request. */
    readonly requestId: string;
    /** What is called. */
    readonly kind: CallKind;
    /** Who calls. */
    readonly account: string;
    /** Data centre of the caller. */
    readonly dataCentre: string;
    /** Prompt of a draft. */
    readonly prompt: string;
    /** Tokens of a draft. */
    readonly tokens: number;
    /** Time that the caller waits, in milliseconds. */
    readonly timeoutMs: number;
}

const toRequest = (shape: FleetShape, call: PlannedCall): CallerRequest => {
    const common = {
        requestId: branded<RequestId>(call.requestId),
        account: branded<ClientAccountId>(call.account),
        headers: [],
        timeoutMs: call.timeoutMs,
    };
    if (call.kind === "draft") {
        return {
            ...common,
            service: branded<ServiceName>(shape.modelService),
            method: "POST",
            path: "/v1/completions",
            body: Buffer.from(JSON.stringify({ prompt: call.prompt, max_tokens: call.tokens, stream: true })),
        };
    }
    return {
        ...common,
        service: branded<ServiceName>(shape.plainService),
        method: call.kind === "booking" ? "POST" : "GET",
        path: call.kind === "booking" ? "/bookings" : "/status/sign",
        body: Buffer.from(call.requestId),
    };
};

/** Reads one answer and compares it with what was asked. */
class AnswerCheck {
    private tokens = 0;
    private mistake: string | undefined;
    private readonly body: Uint8Array[] = [];

    public constructor(private readonly call: PlannedCall, private readonly record: CallRecord) {}

    public read(event: AnswerEvent, nowMs: number): void {
        const { record } = this;
        if (record.endedMs !== undefined) {
            this.mistake = "a piece came behind the end";
            record.ending = { kind: "wrong", reason: this.mistake };
            return;
        }
        switch (event.kind) {
            case "ticket":
            case "head":
                break;
            case "tokens":
                this.noteTimes(event.texts.length, nowMs);
                this.readTokens(event.texts);
                break;
            case "body":
                record.firstPieceMs ??= nowMs;
                this.body.push(event.bytes);
                break;
            case "end":
                record.endedMs = nowMs;
                this.readEnd();
                break;
            case "failed":
                record.endedMs = nowMs;
                record.ending = { retryAfterMs: undefined, ...event.failure, kind: "failed" };
                break;
        }
    }

    private noteTimes(count: number, nowMs: number): void {
        const { record } = this;
        record.firstPieceMs ??= nowMs;
        if (record.lastTokenMs !== undefined) {
            record.tokenGapsMs.push((nowMs - record.lastTokenMs) / Math.max(1, count));
        }
        record.lastTokenMs = nowMs;
    }

    private readTokens(texts: readonly string[]): void {
        for (const text of texts) {
            if (text !== tokenText(this.call.prompt, this.tokens)) {
                this.mistake ??= `token ${this.tokens} is wrong`;
            }
            this.tokens++;
        }
    }

    private readEnd(): void {
        if (this.call.kind === "draft" && this.tokens !== this.call.tokens) {
            this.mistake ??= `${this.tokens} of ${this.call.tokens} tokens came`;
        }
        if (this.call.kind !== "draft" && !this.isOwnBody()) {
            this.mistake ??= "the body belongs to another request";
        }
        this.record.ending = this.mistake === undefined
            ? { kind: "whole" }
            : { kind: "wrong", reason: this.mistake };
    }

    private isOwnBody(): boolean {
        try {
            const body = JSON.parse(Buffer.concat(this.body).toString()) as { request_id?: string; };
            return body.request_id === this.call.requestId;
        }
        catch {
            return false;
        }
    }
}

/**
 * Sends a request to an entry and records what comes back.
 *
 * @param fleet - the fleet
 * @param shape - its size
 * @param entryName - entry that the platform's balancer picked
 * @param call - what to ask for
 * @returns the record, which fills while the fleet runs, and a promise of its end
 */
export const sendCall = (
    fleet: VirtualFleet,
    shape: FleetShape,
    entryName: string,
    call: PlannedCall,
): { readonly record: CallRecord; readonly ended: Promise<void>; } => {
    const sentMs = fleet.clock.nowMs();
    const record: CallRecord = {
        requestId: call.requestId,
        kind: call.kind,
        account: call.account,
        dataCentre: call.dataCentre,
        tokens: call.tokens,
        sentMs,
        deadlineMs: sentMs + call.timeoutMs,
        firstPieceMs: undefined,
        lastTokenMs: undefined,
        tokenGapsMs: [],
        endedMs: undefined,
        ending: { kind: "pending" },
    };
    const check = new AnswerCheck(call, record);
    const { promise, resolve } = createDeferred<void>();
    const consume = (event: AnswerEvent): void => check.read(event, fleet.clock.nowMs());
    fleet.call(entryName, toRequest(shape, call), consume).then(resolve, resolve);
    return { record, ended: promise };
};
