/**
 * Sends a request to a virtual fleet and verifies that the answer is the one to this request.
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
import { tokenText } from "../standIns/simulatedEngine.ts";
import type { CallKind, CallRecord } from "./callRecord.ts";

/** Parameters of a caller's request. */
export interface PlannedCall {
    /** Identifier of the request. */
    readonly requestId: string;
    /** Kind of the call. */
    readonly kind: CallKind;
    /** Client account of the caller. */
    readonly account: string;
    /** Data centre of the caller. */
    readonly dataCentre: string;
    /** Prompt of a draft; empty for other calls. */
    readonly prompt: string;
    /** Number of tokens of a draft; 0 for other calls. */
    readonly tokens: number;
    /** Timeout of the caller, in milliseconds. */
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

/** Consumes the events of one answer, compares it with the expected answer and fills the record. */
class AnswerChecker {
    private tokenCount = 0;
    private mismatch: string | undefined;
    private readonly bodyChunks: Uint8Array[] = [];

    public constructor(private readonly call: PlannedCall, private readonly record: CallRecord) {}

    public consume(event: AnswerEvent, nowMs: number): void {
        const { record } = this;
        if (record.endedMs !== undefined) {
            this.mismatch = "an event arrived after the end of the answer";
            record.outcome = { kind: "wrong", reason: this.mismatch };
            return;
        }
        switch (event.kind) {
            case "ticket":
            case "head":
                break;
            case "tokens":
                this.recordTokenTimes(event.texts.length, nowMs);
                this.verifyTokens(event.texts);
                break;
            case "body":
                record.firstPieceMs ??= nowMs;
                this.bodyChunks.push(event.bytes);
                break;
            case "end":
                record.endedMs = nowMs;
                this.verifyCompleteAnswer();
                break;
            case "failed":
                record.endedMs = nowMs;
                record.outcome = { retryAfterMs: undefined, ...event.failure, kind: "failed" };
                break;
        }
    }

    private recordTokenTimes(count: number, nowMs: number): void {
        const { record } = this;
        record.firstPieceMs ??= nowMs;
        if (record.lastTokenMs !== undefined) {
            record.tokenGapsMs.push((nowMs - record.lastTokenMs) / Math.max(1, count));
        }
        record.lastTokenMs = nowMs;
    }

    private verifyTokens(texts: readonly string[]): void {
        for (const text of texts) {
            if (text !== tokenText(this.call.prompt, this.tokenCount)) {
                this.mismatch ??= `token ${this.tokenCount} differs from the expected one`;
            }
            this.tokenCount++;
        }
    }

    private verifyCompleteAnswer(): void {
        if (this.call.kind === "draft" && this.tokenCount !== this.call.tokens) {
            this.mismatch ??= `the answer has ${this.tokenCount} tokens instead of ${this.call.tokens}`;
        }
        if (this.call.kind !== "draft" && !this.isBodyOfRequest()) {
            this.mismatch ??= "the body belongs to another request";
        }
        this.record.outcome = this.mismatch === undefined
            ? { kind: "whole" }
            : { kind: "wrong", reason: this.mismatch };
    }

    private isBodyOfRequest(): boolean {
        try {
            const body = JSON.parse(Buffer.concat(this.bodyChunks).toString()) as { request_id?: string; };
            return body.request_id === this.call.requestId;
        }
        catch {
            return false;
        }
    }
}

/**
 * Sends a request to an entry and records its answer.
 *
 * @param fleet - the fleet
 * @param shape - shape of the fleet
 * @param entryName - entry that the platform's load balancer chose
 * @param call - parameters of the request
 * @returns the record, which is filled while the fleet runs, and a promise that resolves once the call has
 * ended
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
        outcome: { kind: "pending" },
    };
    const checker = new AnswerChecker(call, record);
    const { promise, resolve } = createDeferred<void>();
    const consume = (event: AnswerEvent): void => checker.consume(event, fleet.clock.nowMs());
    fleet.call(entryName, toRequest(shape, call), consume).then(resolve, resolve);
    return { record, ended: promise };
};
