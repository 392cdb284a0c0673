/**
 * Platform client for Consul's HTTP API: blocking queries on a key and on the health endpoint of a service.
 *
 * @packageDocumentation
 */

import {
    type Address,
    branded,
    createBoundedConnector,
    type DataCentreId,
    type InstanceId,
    ProtocolError,
    readBounded,
} from "@magnolialock/kernel";
import type { Revision } from "@magnolialock/kernel";
import { Agent, type Dispatcher, request } from "undici";
import { z } from "zod";
import type { Platform, PublishedInstances } from "../types/platform.ts";

/** Options of {@link createConsulPlatform}. */
export interface ConsulPlatformOptions {
    /** Address of Consul. */
    readonly address: Address;
    /** Key of the rule file. */
    readonly key: string;
    /** Service name under which the instances are registered. */
    readonly service: string;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;
/** Time that a response may take beyond the wait of a blocking query, in milliseconds. */
const RESPONSE_GRACE_MS = 2_000;
/** Time for opening a connection, in milliseconds: a read takes no longer than its wait and this time. */
const CONNECT_TIMEOUT_MS = RESPONSE_GRACE_MS;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

const keyEntries = z.array(z.object({ ModifyIndex: z.number().int(), Value: z.string().nullable() })).min(1);
const healthEntries = z.array(z.object({
    Service: z.object({
        ID: z.string(),
        Address: z.string(),
        Port: z.number().int(),
        Meta: z.object({ role: z.enum(["entry", "agent"]), dataCentre: z.string() }),
    }),
    Checks: z.array(z.object({ Status: z.string() })).default([]),
}));

interface ConsulResponse {
    readonly status: number;
    readonly index: number;
    readonly json: unknown;
}

const readResponse = async (response: Dispatcher.ResponseData): Promise<ConsulResponse> => {
    const length = Number(response.headers["content-length"] ?? 0);
    if (length > MAX_RESPONSE_BYTES) {
        response.body.destroy();
        throw new ProtocolError(
            `the platform's response of ${length} bytes exceeds the maximum of ${MAX_RESPONSE_BYTES} bytes`,
        );
    }
    const text = (await readBounded(response.body, MAX_RESPONSE_BYTES)).toString();
    if (response.statusCode !== HTTP_OK && response.statusCode !== HTTP_NOT_FOUND) {
        throw new ProtocolError(`the platform responded with status ${response.statusCode}`);
    }
    return {
        status: response.statusCode,
        index: Number(response.headers["x-consul-index"] ?? 0),
        json: response.statusCode === HTTP_OK ? JSON.parse(text) : undefined,
    };
};

const toInstances = (response: ConsulResponse): PublishedInstances => ({
    index: response.index,
    instances: healthEntries.parse(response.json).map(({ Service: service, Checks: checks }) => ({
        name: branded<InstanceId>(service.ID),
        role: service.Meta.role,
        dataCentre: branded<DataCentreId>(service.Meta.dataCentre),
        address: branded<Address>(`${service.Address}:${service.Port}`),
        isLeaving: checks.some(check => check.Status !== "passing"),
    })),
});

/**
 * Creates the client.
 *
 * @param options - address, key and service name
 * @returns the client; disposing it closes its connections
 */
export const createConsulPlatform = (options: ConsulPlatformOptions): Platform & AsyncDisposable => {
    const dispatcher = new Agent({
        connections: 4,
        connect: createBoundedConnector({
            timeoutMs: CONNECT_TIMEOUT_MS,
            maxBodyBytes: MAX_RESPONSE_BYTES,
        }),
    });
    const query = async (
        path: string,
        index: number | undefined,
        waitMs: number,
        signal: AbortSignal,
    ): Promise<ConsulResponse> => {
        const wait = index === undefined ? "" : `?index=${index}&wait=${waitMs}ms`;
        const response = await request(`http://${options.address}${path}${wait}`, {
            dispatcher,
            signal,
            headersTimeout: waitMs + RESPONSE_GRACE_MS,
            bodyTimeout: waitMs + RESPONSE_GRACE_MS,
        });
        return readResponse(response);
    };
    let lastValue: string | null | undefined;
    return {
        watchRules: async (known, waitMs, signal) => {
            const response = await query(`/v1/kv/${options.key}`, known, waitMs, signal);
            if (response.status === HTTP_NOT_FOUND) {
                return undefined;
            }
            const [entry] = keyEntries.parse(response.json);
            // A platform restored from an older copy may publish another content under an index that is known.
            const isKnown = entry?.ModifyIndex === known && entry?.Value === lastValue;
            if (!entry || isKnown) {
                return undefined;
            }
            lastValue = entry.Value;
            return {
                revision: branded<Revision>(entry.ModifyIndex),
                bytes: Buffer.from(entry.Value ?? "", "base64"),
            };
        },
        watchInstances: async (known, waitMs, signal) => {
            const response = await query(`/v1/health/service/${options.service}`, known, waitMs, signal);
            return response.status === HTTP_NOT_FOUND || response.index === known
                ? undefined
                : toInstances(response);
        },
        [Symbol.asyncDispose]: () => dispatcher.close(),
    };
};
