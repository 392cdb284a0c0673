/**
 * Checks that the events of an answer belong to the attempt, arrive in order and are complete.
 *
 * @packageDocumentation
 */

import { branded, isFaultSeeded, type RequestId, type Runtime } from "@magnolialock/kernel";
import type { Refused, RunEvent, RunRequest } from "@magnolialock/protocol";
import type { AnswerEvent, AnswerHead } from "../types/caller.ts";
import { answerDropped } from "./entryEvents.ts";

/** Outcome of an attempt. */
export type AttemptOutcome =
    /** The answer is complete. */
    | { readonly kind: "answered"; }
    /** The attempt has not run at the agent and never will. */
    | { readonly kind: "refused"; readonly refused: Refused; }
    /** The agent cannot tell whether the attempt ran. */
    | { readonly kind: "unknown"; readonly message: string; }
    /** The agent could not be reached, or its answer arrived incomplete or out of order. */
    | { readonly kind: "unreachable"; readonly message: string; };

/** Receives the events of an answer in order. */
export type AnswerConsumer = (event: AnswerEvent) => void;

/** Why an event was dropped; `crossed` means that it belongs to another request or attempt. */
type DropReason = "crossed" | "duplicate" | "late";

/** Options of an {@link AnswerReader}. */
export interface AnswerReaderOptions {
    /** Runtime of the process. */
    readonly runtime: Runtime;
    /** Message of the attempt. */
    readonly request: RunRequest;
    /** Receives the events of the answer. */
    readonly consume: AnswerConsumer;
    /** Returns why the answer cannot be used, by its head; undefined if it can. */
    readonly rejectHead?: (head: AnswerHead) => string | undefined;
}

/** Reads the events of one attempt; crossed, duplicate and late events are dropped and counted. */
export class AnswerReader {
    private readonly runtime: Runtime;
    private readonly request: RunRequest;
    private readonly consume: AnswerConsumer;
    private readonly rejectHead: (head: AnswerHead) => string | undefined;
    private nextSequence = 0;
    private nextToken: number;
    private bodyBytes = 0;
    private result: AttemptOutcome | undefined;

    /** @param options - attempt and consumer of the answer */
    public constructor(options: AnswerReaderOptions) {
        this.runtime = options.runtime;
        this.request = options.request;
        this.consume = options.consume;
        this.rejectHead = options.rejectHead ?? (() => undefined);
        this.nextToken = options.request.resumeFromToken;
    }

    /** Outcome of the attempt; undefined until it has ended. */
    public get outcome(): AttemptOutcome | undefined {
        return this.result;
    }

    /**
     * Reads the next event.
     *
     * @param event - event received from the agent
     */
    public read(event: RunEvent): void {
        const dropReason = this.dropReasonOf(event);
        if (dropReason) {
            this.drop(event, dropReason);
            return;
        }
        if (event.sequence > this.nextSequence) {
            this.fail(`event ${this.nextSequence} of the answer is missing`);
            return;
        }
        this.nextSequence = event.sequence + 1;
        this.readPayload(event.event);
    }

    private dropReasonOf(event: RunEvent): DropReason | undefined {
        const { request } = this;
        if (this.result) {
            return "late";
        }
        const belongsToAttempt = branded<RequestId>(event.requestId) === request.requestId
            && event.attempt === request.attempt;
        if (!belongsToAttempt && !isFaultSeeded("entry.accept-crossed-answer")) {
            return "crossed";
        }
        return belongsToAttempt && event.sequence < this.nextSequence ? "duplicate" : undefined;
    }

    private drop(event: RunEvent, reason: DropReason): void {
        const { requestId, attempt } = this.request;
        this.runtime.events.emit(answerDropped, { requestId, attempt, reason, sequence: event.sequence });
        this.runtime.metrics.increment("entry.answer.dropped", 1, { reason });
    }

    private fail(message: string): void {
        this.result = { kind: "unreachable", message };
    }

    private readPayload(payload: RunEvent["event"]): void {
        switch (payload.case) {
            case "head":
                this.readHead({
                    kind: "head",
                    status: payload.value.status,
                    headers: payload.value.headers.map(({ name, value }) => [name, value] as const),
                });
                break;
            case "tokens":
                this.readTokens(payload.value.firstToken, payload.value.texts);
                break;
            case "body":
                this.bodyBytes += payload.value.bytes.length;
                this.consume({ kind: "body", bytes: payload.value.bytes });
                break;
            case "end":
                this.readEnd(payload.value.totalTokens, payload.value.bodyBytes, payload.value.finishReason);
                break;
            case "refused":
                this.result = { kind: "refused", refused: payload.value };
                break;
            case "unknown":
                this.result = { kind: "unknown", message: payload.value.message };
                break;
            case "admitted":
            case undefined:
                break;
        }
    }

    private readHead(head: AnswerHead): void {
        const reason = this.rejectHead(head);
        if (reason === undefined) {
            this.consume(head);
        }
        else {
            this.fail(reason);
        }
    }

    private readTokens(firstToken: number, texts: readonly string[]): void {
        if (firstToken > this.nextToken) {
            this.fail(`token ${this.nextToken} is missing`);
            return;
        }
        // A resumed answer may start before the next expected token; tokens already delivered are skipped.
        const newTexts = texts.slice(this.nextToken - firstToken);
        if (newTexts.length > 0) {
            this.nextToken += newTexts.length;
            this.consume({ kind: "tokens", texts: newTexts });
        }
    }

    private readEnd(totalTokens: number, bodyBytes: bigint, finishReason: string): void {
        if (totalTokens !== this.nextToken || Number(bodyBytes) !== this.bodyBytes) {
            this.fail("the answer is shorter than its end says");
            return;
        }
        this.consume({ kind: "end", finishReason });
        this.result = { kind: "answered" };
    }
}
