/**
 * HTTP interface of the plain service's stand-in, which also reports how often it ran each request.
 *
 * @packageDocumentation
 */

import { Hono } from "hono";
import type { SimulatedPlainService } from "../../shared/standIns/simulatedPlainService.ts";

/**
 * Creates the HTTP interface of a plain service's stand-in.
 *
 * @param service - the stand-in
 * @returns the Hono application
 */
export const createPlainServer = (service: SimulatedPlainService): Hono => {
    const app = new Hono();
    app.use(async (context, next) => {
        context.header("x-request-id", context.req.header("x-request-id"));
        await next();
    });
    app.get("/load", context => context.json({ running: service.running, waiting: 0 }));
    app.get("/stand-in/runs", context => {
        const counts = new Map<string, number>();
        const onlyMethod = context.req.query("method");
        for (const { requestId, method } of service.runs) {
            if (onlyMethod === undefined || method === onlyMethod) {
                counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
            }
        }
        return context.json(Object.fromEntries(counts));
    });
    app.post("/stand-in/restart", context => {
        service.restart();
        return context.text("done\n");
    });
    app.all("*", async context => {
        const url = new URL(context.req.url);
        const requestId = context.req.header("x-request-id") ?? "";
        const body = await service.call({
            requestId,
            method: context.req.method,
            path: `${url.pathname}${url.search}`,
            body: await context.req.text(),
        });
        return context.body(body, 200, { "content-type": "application/json" });
    });
    return app;
};
