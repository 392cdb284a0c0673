/**
 * HTTP interface of the engine stand-in: OpenAI-style completions as server-sent events.
 *
 * @packageDocumentation
 */

import { AsyncQueue } from "@magnolialock/kernel";
import { Hono } from "hono";
import { streamSSE } from "hono/streaming";
import { z } from "zod";
import { EngineOrders } from "../../shared/standIns/engineOrders.ts";
import type { SimulatedEngine } from "../../shared/standIns/simulatedEngine.ts";

const MAX_TOKENS = 100_000;

const completionRequestSchema = z.object({
    prompt: z.string(),
    max_tokens: z.number().int().min(1).max(MAX_TOKENS).default(16),
    resume_from_token: z.number().int().min(0).default(0),
});

type EngineEvent = { readonly kind: "tokens"; readonly texts: readonly string[]; } | {
    readonly kind: "end";
};

const orderRequestSchema = z.object({
    fence: z.number().int().min(0),
    kind: z.enum(["load-model", "load-adapter", "load-version", "change-role"]),
    subject: z.string().min(1),
});

const HTTP_CONFLICT = 409;

const addOrderRoutes = (app: Hono, orders: EngineOrders): void => {
    app.get("/stand-in/orders", context => context.json(orders.executed));
    app.post("/orders", async context => {
        const parsed = orderRequestSchema.safeParse(await context.req.json().catch(() => undefined));
        if (!parsed.success) {
            return context.json({ error: { message: z.prettifyError(parsed.error) } }, 400);
        }
        const outcome = orders.execute(parsed.data);
        return context.json({ outcome }, outcome === "done" ? 200 : HTTP_CONFLICT);
    });
};

/**
 * Creates the HTTP interface of an engine stand-in.
 *
 * @param engine - the stand-in
 * @param orders - handles the engine's orders; by default, orders with an outdated fencing token are refused
 * @returns the Hono application
 */
export const createEngineServer = (
    engine: SimulatedEngine,
    orders: EngineOrders = new EngineOrders({ honoursFencing: true }),
): Hono => {
    const app = new Hono();
    addOrderRoutes(app, orders);
    app.use(async (context, next) => {
        context.header("x-request-id", context.req.header("x-request-id"));
        await next();
    });
    app.get("/load", context =>
        context.json({
            running: engine.reportedRunning,
            waiting: 0,
            process_id: engine.processId,
            cached_prefixes: engine.prefixes,
        }));
    app.post("/stand-in/:action", context => {
        const { action } = context.req.param();
        if (action === "turn-cold") {
            engine.turnCold();
        }
        else if (action === "restart") {
            engine.restart();
        }
        else {
            return context.text("use turn-cold or restart\n", 404);
        }
        return context.text("done\n");
    });
    app.post("/v1/completions", async context => {
        const parsed = completionRequestSchema.safeParse(await context.req.json().catch(() => undefined));
        if (!parsed.success) {
            return context.json({ error: { message: z.prettifyError(parsed.error) } }, 400);
        }
        const { prompt, max_tokens: totalTokens, resume_from_token: resumeFromToken } = parsed.data;
        const requestId = context.req.header("x-request-id") ?? "";
        const events = new AsyncQueue<EngineEvent>();
        const cancel = engine.submit({ requestId, prompt, totalTokens, resumeFromToken }, {
            onTokens: texts => events.push({ kind: "tokens", texts }),
            onEnd: () => {
                events.push({ kind: "end" });
                events.close();
            },
            onFailure: error => events.fail(error),
        });
        return streamSSE(context, async stream => {
            stream.onAbort(cancel);
            for await (const event of events) {
                if (event.kind === "end") {
                    await stream.writeSSE({
                        data: JSON.stringify({ choices: [{ index: 0, text: "", finish_reason: "length" }] }),
                    });
                    await stream.writeSSE({ data: "[DONE]" });
                    continue;
                }
                const chunks = event.texts.map(text =>
                    `data: ${JSON.stringify({ choices: [{ index: 0, text, finish_reason: undefined }] })}\n\n`
                );
                await stream.write(chunks.join(""));
            }
        });
    });
    return app;
};
