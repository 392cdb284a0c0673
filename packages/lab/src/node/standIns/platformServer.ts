/**
 * HTTP interface of the platform stand-in, modelled on Consul: a key-value entry with blocking queries and a
 * service catalogue.
 *
 * @packageDocumentation
 */

import type { ListedInstance } from "@magnolialock/control";
import {
    type Address,
    branded,
    type DataCentreId,
    type InstanceId,
    isAddress,
    type Revision,
    splitAddress,
} from "@magnolialock/kernel";
import { type Context, Hono } from "hono";
import { z } from "zod";
import type { SimulatedPlatform } from "../../shared/standIns/simulatedPlatform.ts";

const DEFAULT_WAIT_MS = 300_000;

const parseWatchQuery = (
    context: Context,
): { readonly index: number | undefined; readonly waitMs: number; } => {
    const index = context.req.query("index");
    const wait = /^(\d+)ms$/.exec(context.req.query("wait") ?? "")?.[1];
    return {
        index: index === undefined ? undefined : Number(index),
        waitMs: wait === undefined ? DEFAULT_WAIT_MS : Number(wait),
    };
};

const instanceListSchema = z.array(z.object({
    name: z.string().min(1),
    role: z.enum(["entry", "agent"]),
    dataCentre: z.string().min(1),
    address: z.string().refine(isAddress, "write an IP number and a port"),
    isLeaving: z.boolean().default(false),
}));

const toListedInstance = (instance: z.infer<typeof instanceListSchema>[number]): ListedInstance => ({
    ...instance,
    name: branded<InstanceId>(instance.name),
    dataCentre: branded<DataCentreId>(instance.dataCentre),
    address: branded<Address>(instance.address),
});

const PLATFORM_DOWN_TEXT = "the platform is down\n";

/**
 * Creates the HTTP interface of a platform stand-in.
 *
 * @param platform - the stand-in
 * @returns the Hono application
 */
export const createPlatformServer = (platform: SimulatedPlatform): Hono => {
    const app = new Hono();
    app.onError((_error, context) => context.text(PLATFORM_DOWN_TEXT, 500));
    app.get("/v1/kv/*", async context => {
        const { index, waitMs } = parseWatchQuery(context);
        const { signal } = context.req.raw;
        const known = index === undefined ? undefined : branded<Revision>(index);
        const published = await platform.watchRules(known, waitMs, signal)
            ?? await platform.watchRules(undefined, 0, signal);
        if (!published) {
            return context.text("", 404, { "x-consul-index": "1" });
        }
        context.header("x-consul-index", String(published.revision));
        return context.json([{
            ModifyIndex: published.revision,
            Value: Buffer.from(published.bytes).toString("base64"),
        }]);
    });
    app.put("/v1/kv/*", async context => {
        platform.publish(new Uint8Array(await context.req.arrayBuffer()));
        return context.json(true);
    });
    app.get("/v1/health/service/:name", async context => {
        const { index, waitMs } = parseWatchQuery(context);
        const { signal } = context.req.raw;
        const published = await platform.watchInstances(index, waitMs, signal)
            ?? await platform.watchInstances(undefined, 0, signal);
        context.header("x-consul-index", String(published?.index ?? 1));
        return context.json((published?.instances ?? []).map(instance => {
            const { host, port } = splitAddress(instance.address);
            return {
                Service: {
                    ID: instance.name,
                    Address: host,
                    Port: port,
                    Meta: { role: instance.role, dataCentre: instance.dataCentre },
                },
                Checks: [{ Status: instance.isLeaving ? "critical" : "passing" }],
            };
        }));
    });
    app.put("/stand-in/instances", async context => {
        const parsed = instanceListSchema.safeParse(await context.req.json().catch(() => undefined));
        if (!parsed.success) {
            return context.text(`${z.prettifyError(parsed.error)}\n`, 400);
        }
        platform.setInstances(parsed.data.map(toListedInstance));
        return context.text("done\n");
    });
    app.get("/stand-in/calls", context => context.json({ calls: platform.callTimesMs.length }));
    app.post("/stand-in/mode/:mode", context => {
        const { mode } = context.req.param();
        if (mode !== "up" && mode !== "down") {
            return context.text("use up or down\n", 404);
        }
        platform.mode = mode;
        return context.text("done\n");
    });
    return app;
};
