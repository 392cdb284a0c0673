/**
 * Creation of the events that answer one attempt.
 *
 * @packageDocumentation
 */

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { type RunEvent, RunEventSchema, type RunRequest } from "@magnolialock/protocol";
import { match } from "ts-pattern";
import type { BackendEvent } from "../types/backend.ts";

/** Payload of an event. */
export type EventPayload = MessageInitShape<typeof RunEventSchema>["event"];

/** Numbers the events of one attempt and counts the tokens and body bytes that they carry. */
export class AnswerWriter {
    private sequence = 0;
    private tokens: number;
    private bodyBytes = 0;

    /** @param request - the attempt */
    public constructor(private readonly request: RunRequest) {
        this.tokens = request.resumeFromToken;
    }

    /**
     * Creates the next event.
     *
     * @param event - payload of the event
     * @returns the event with its sequence number
     */
    public write(event: EventPayload): RunEvent {
        return create(RunEventSchema, {
            requestId: this.request.requestId,
            attempt: this.request.attempt,
            sequence: this.sequence++,
            event,
        });
    }

    /**
     * Creates the next event from a part of the backend server's answer.
     *
     * @param event - the part
     * @returns the event with its sequence number
     */
    public writeBackendEvent(event: BackendEvent): RunEvent {
        return match(event)
            .with({ kind: "head" }, ({ status, headers }) =>
                this.write({
                    case: "head",
                    value: { status, headers: headers.map(([name, value]) => ({ name, value })) },
                }))
            .with({ kind: "tokens" }, ({ texts }) => {
                const firstToken = this.tokens;
                this.tokens += texts.length;
                return this.write({ case: "tokens", value: { firstToken, texts: [...texts] } });
            })
            .with({ kind: "body" }, ({ bytes }) => {
                this.bodyBytes += bytes.length;
                return this.write({ case: "body", value: { bytes } });
            })
            .with({ kind: "end" }, ({ finishReason }) =>
                this.write({
                    case: "end",
                    value: { totalTokens: this.tokens, finishReason, bodyBytes: BigInt(this.bodyBytes) },
                }))
            .exhaustive();
    }
}

/**
 * Creates the only event of an attempt that is answered without being started.
 *
 * @param request - the attempt
 * @param event - payload of the event
 * @returns the event
 */
export const singleEvent = (request: RunRequest, event: EventPayload): RunEvent =>
    new AnswerWriter(request).write(event);
