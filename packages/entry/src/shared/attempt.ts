/**
 * One attempt of a request: the call to an agent, with checks that the answer is its own and whole.
 *
 * @packageDocumentation
 */

import { ConnectError } from "@connectrpc/connect";
import { branded, type RequestId } from "@magnolialock/kernel";
import { type Refused, type RunEvent, type RunRequest } from "@magnolialock/protocol";
import type { AnswerEvent } from "../types/caller.ts";
import type { AgentPeer } from "./agentPeer.ts";

/** How an attempt ended. */
export type AttemptOutcome =
    | { readonly kind: "answered"; }
    | { readonly kind: "refused"; readonly refused: Refused; }
    | { readonly kind: "unknown"; readonly message: string; }
    | { readonly kind: "unreachable"; readonly message: string; };

/** Takes the pieces of an answer in order. */
export type AnswerConsumer = (event: AnswerEvent) => void;

const isOwn = (event: RunEvent, request: RunRequest): boolean =>
    branded<RequestId>(event.requestId) === request.requestId && event.attempt === request.attempt;

/** Checks order and completeness of one attempt's events. */
class AnswerReader {
    public outcome: AttemptOutcome | undefined;
    private nextSequence = 0;
    private nextToken: number;
    private bodyBytes = 0;

    public constructor(private readonly request: RunRequest, private readonly consume: AnswerConsumer) {
        this.nextToken = request.resumeFromToken;
    }

    public read(event: RunEvent): void {
        if (!isOwn(event, this.request) || event.sequence < this.nextSequence) {
            return;
        }
        this.nextSequence = event.sequence + 1;
        const payload = event.event;
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
                this.outcome = { kind: "refused", refused: payload.value };
                break;
            case "unknown":
                this.outcome = { kind: "unknown", message: payload.value.message };
                break;
            case "admitted":
            case undefined:
                break;
        }
    }

    private readTokens(firstToken: number, texts: readonly string[]): void {
        if (firstToken !== this.nextToken) {
            this.outcome = { kind: "unknown", message: `token ${this.nextToken} is missing` };
            return;
        }
        this.nextToken += texts.length;
        this.consume({ kind: "tokens", texts });
    }

    private readEnd(totalTokens: number, bodyBytes: bigint, finishReason: string): void {
        if (totalTokens !== this.nextToken || Number(bodyBytes) !== this.bodyBytes) {
            this.outcome = { kind: "unknown", message: "the answer is shorter than its end says" };
            return;
        }
        this.consume({ kind: "end", finishReason });
        this.outcome = { kind: "answered" };
    }
}

/**
 * Runs one attempt.
 *
 * @param peer - agent to call
 * @param request - the attempt
 * @param signal - gives the attempt up
 * @param consume - gets the pieces of the answer
 * @returns how it ended
 */
export const runAttempt = async (
    peer: AgentPeer,
    request: RunRequest,
    signal: AbortSignal,
    consume: AnswerConsumer,
): Promise<AttemptOutcome> => {
    const reader = new AnswerReader(request, consume);
    peer.ownRunning++;
    try {
        for await (const event of peer.session.run(request, signal)) {
            reader.read(event);
            if (reader.outcome) {
                return reader.outcome;
            }
        }
        return { kind: "unreachable", message: "the agent's answer ended early" };
    }
    catch (error) {
        return { kind: "unreachable", message: ConnectError.from(error).message };
    }
    finally {
        peer.ownRunning--;
    }
};
