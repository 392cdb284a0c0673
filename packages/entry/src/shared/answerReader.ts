/**
 * Checks that the events of an attempt are its own, in order and whole.
 *
 * @packageDocumentation
 */

import { branded, isFaultSeeded, type RequestId, type Runtime } from "@magnolialock/kernel";
import type { Refused, RunEvent, RunRequest } from "@magnolialock/protocol";
import type { AnswerEvent } from "../types/caller.ts";
import { answerDropped } from "./entryEvents.ts";

/** How an attempt ended. */
export type AttemptOutcome =
    /** The answer is whole. */
    | { readonly kind: "answered"; }
    /** It has not run there and never will. */
    | { readonly kind: "refused"; readonly refused: Refused; }
    /** The agent cannot tell whether it ran. */
    | { readonly kind: "unknown"; readonly message: string; }
    /** The agent could not be reached, or its answer was damaged on the way. */
    | { readonly kind: "unreachable"; readonly message: string; };

/** Takes the pieces of an answer in order. */
export type AnswerConsumer = (event: AnswerEvent) => void;

/** Why an event was dropped. */
type DropReason = "crossed" | "duplicate" | "late";

/** Options of an {@link AnswerReader}. */
export interface AnswerReaderOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** The attempt. */
    readonly request: RunRequest;
    /** Gets the pieces of the answer. */
    readonly consume: AnswerConsumer;
}

/** Reads the events of one attempt; everything that is not its own is dropped and counted. */
export class AnswerReader {
    private readonly runtime: Runtime;
    private readonly request: RunRequest;
    private readonly consume: AnswerConsumer;
    private nextSequence = 0;
    private nextToken: number;
    private bodyBytes = 0;
    private result: AttemptOutcome | undefined;

    /** @param options - the attempt and who gets its answer */
    public constructor(options: AnswerReaderOptions) {
        this.runtime = options.runtime;
        this.request = options.request;
        this.consume = options.consume;
        this.nextToken = options.request.resumeFromToken;
    }

    /** How the attempt ended, once it has. */
    public get outcome(): AttemptOutcome | undefined {
        return this.result;
    }

    /**
     * Reads the next event.
     *
     * @param event - the event
     */
    public read(event: RunEvent): void {
        const dropReason = this.dropReasonOf(event);
        if (dropReason) {
            this.drop(event, dropReason);
            return;
        }
        if (event.sequence > this.nextSequence) {
            this.break(`event ${this.nextSequence} of the answer is missing`);
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
        const isOwn = branded<RequestId>(event.requestId) === request.requestId
            && event.attempt === request.attempt;
        if (!isOwn && !isFaultSeeded("entry.accept-crossed-answer")) {
            return "crossed";
        }
        return isOwn && event.sequence < this.nextSequence ? "duplicate" : undefined;
    }

    private drop(event: RunEvent, reason: DropReason): void {
        const { requestId, attempt } = this.request;
        this.runtime.events.emit(answerDropped, { requestId, attempt, reason, sequence: event.sequence });
        this.runtime.metrics.increment("entry.answer.dropped", 1, { reason });
    }

    private break(message: string): void {
        this.result = { kind: "unreachable", message };
    }

    private readPayload(payload: RunEvent["event"]): void {
        switch (payload.case) {
            case "head":
                this.consume({
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

    private readTokens(firstToken: number, texts: readonly string[]): void {
        if (firstToken > this.nextToken) {
            this.break(`token ${this.nextToken} is missing`);
            return;
        }
        // A resumed answer may begin before the last token that was delivered.
        const newTexts = texts.slice(this.nextToken - firstToken);
        if (newTexts.length > 0) {
            this.nextToken += newTexts.length;
            this.consume({ kind: "tokens", texts: newTexts });
        }
    }

    private readEnd(totalTokens: number, bodyBytes: bigint, finishReason: string): void {
        if (totalTokens !== this.nextToken || Number(bodyBytes) !== this.bodyBytes) {
            this.break("the answer is shorter than its end says");
            return;
        }
        this.consume({ kind: "end", finishReason });
        this.result = { kind: "answered" };
    }
}
