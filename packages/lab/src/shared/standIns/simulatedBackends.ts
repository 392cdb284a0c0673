/**
 * Adapters that let an agent call simulated engines and services in the same process, for runs on the virtual
 * clock.
 *
 * @packageDocumentation
 */

import { type Backend, BackendBrokenError, type BackendEvent } from "@magnolialock/agent";
import { AsyncQueue } from "@magnolialock/kernel";
import { type RunInProcess, settleInProcess } from "./settleInProcess.ts";
import type { SimulatedEngine } from "./simulatedEngine.ts";
import type { SimulatedPlainService } from "./simulatedPlainService.ts";

/** Body of a completion request. */
export interface CompletionBody {
    /** Prompt. */
    readonly prompt: string;
    /** Length of the answer, in tokens. */
    readonly max_tokens: number;
}

const HTTP_OK = 200;

const createEngineRun =
    (engine: SimulatedEngine, runInProcess: RunInProcess): Backend["run"] => (request, signal) => {
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
                onTokens: texts => runInProcess(() => events.push({ kind: "tokens", texts })),
                onEnd: () =>
                    runInProcess(() => {
                        events.push({ kind: "end", finishReason: "length" });
                        events.close();
                    }),
                onFailure: error => runInProcess(() => events.fail(new BackendBrokenError(error.message))),
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
 * Creates a backend server from a simulated engine.
 *
 * @param engine - the simulated engine
 * @param runInProcess - delivers events to the agent's process
 * @returns the backend server, as the agent calls it
 */
export const createEngineBackend = (engine: SimulatedEngine, runInProcess: RunInProcess): Backend => ({
    run: createEngineRun(engine, runInProcess),
    readLoad: async () => ({
        running: engine.reportedRunning,
        waiting: 0,
        processId: engine.processId,
        cachedPrefixes: engine.prefixes,
    }),
});

/**
 * Creates a backend server from a simulated plain service.
 *
 * @param service - the simulated service
 * @param runInProcess - delivers events to the agent's process
 * @returns the backend server, as the agent calls it
 */
export const createPlainBackend = (service: SimulatedPlainService, runInProcess: RunInProcess): Backend => ({
    async *run(request) {
        let body: string;
        try {
            const call = service.call({
                requestId: request.requestId,
                method: request.method,
                path: request.path,
                body: Buffer.from(request.body).toString(),
            });
            body = await settleInProcess(call, runInProcess);
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
