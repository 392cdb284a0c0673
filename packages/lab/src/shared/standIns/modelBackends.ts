/**
 * Stand-ins as backend servers in the same process, for runs on the virtual clock.
 *
 * @packageDocumentation
 */

import { type Backend, BackendBrokenError, type BackendEvent } from "@magnolialock/agent";
import { AsyncQueue } from "@magnolialock/kernel";
import { type Deliver, deliverOutcome } from "./deliver.ts";
import type { EngineModel } from "./engineModel.ts";
import type { PlainModel } from "./plainModel.ts";

/** Body of a completion request. */
export interface CompletionBody {
    /** Prompt. */
    readonly prompt: string;
    /** Tokens of the answer. */
    readonly max_tokens: number;
}

const HTTP_OK = 200;

const engineRun = (engine: EngineModel, deliver: Deliver): Backend["run"] => (request, signal) => {
    const events = new AsyncQueue<BackendEvent>(() => cancel());
    const body = JSON.parse(Buffer.from(request.body).toString()) as CompletionBody;
    const cancel = engine.submit(
        {
            requestId: request.requestId,
            prompt: body.prompt,
            totalTokens: body.max_tokens,
            resumeFromToken: request.resumeFromToken,
        },
        {
            onTokens: texts => deliver(() => events.push({ kind: "tokens", texts })),
            onEnd: () =>
                deliver(() => {
                    events.push({ kind: "end", finishReason: "length" });
                    events.close();
                }),
            onBroken: error => deliver(() => events.fail(new BackendBrokenError(error.message))),
        },
    );
    signal.addEventListener("abort", () => {
        cancel();
        events.fail(new BackendBrokenError("the call was canceled"));
    }, { once: true });
    events.push({ kind: "head", status: HTTP_OK, headers: [["content-type", "text/event-stream"]] });
    return events;
};

/**
 * Wraps an engine.
 *
 * @param engine - the stand-in
 * @param deliver - delivers to the agent's process
 * @returns the backend server
 */
export const createEngineBackend = (engine: EngineModel, deliver: Deliver): Backend => ({
    run: engineRun(engine, deliver),
    readLoad: async () => ({
        running: engine.reportedRunning,
        waiting: 0,
        processId: engine.processId,
        cachedPrefixes: engine.prefixes,
    }),
});

/**
 * Wraps a plain service.
 *
 * @param service - the stand-in
 * @param deliver - delivers to the agent's process
 * @returns the backend server
 */
export const createPlainBackend = (service: PlainModel, deliver: Deliver): Backend => ({
    async *run(request) {
        let body: string;
        try {
            const call = service.call({
                requestId: request.requestId,
                method: request.method,
                path: request.path,
                body: Buffer.from(request.body).toString(),
            });
            body = await deliverOutcome(call, deliver);
        }
        catch (error) {
            throw new BackendBrokenError("the service died", { cause: error });
        }
        yield { kind: "head", status: HTTP_OK, headers: [["content-type", "application/json"]] };
        yield { kind: "body", bytes: Buffer.from(body) };
        yield { kind: "end", finishReason: "" };
    },
    readLoad: async () => ({
        running: service.running,
        waiting: 0,
        processId: undefined,
        cachedPrefixes: [],
    }),
});
