/**
 * Finds out which backend server answers at an address, by its health check.
 *
 * @packageDocumentation
 */

import { type Address, type Clock, sleep } from "@magnolialock/kernel";
import type { ServerIdentity, ServerIdentityRequest } from "../types/call.ts";
import { FreshCalls } from "./freshCalls.ts";
import { createGetOnOwnConnection } from "./ownConnection.ts";
import { CONNECT_TIMEOUT_MS } from "./serverConnection.ts";

/** Time for the answer to a health check, in milliseconds. */
const ANSWER_TIMEOUT_MS = 500;
/** Bytes of the body of an answer to a health check that may be read before it is discarded. */
const MAX_BODY_BYTES = 4_096;

const get = createGetOnOwnConnection({ timeoutMs: CONNECT_TIMEOUT_MS, maxBodyBytes: MAX_BODY_BYTES });

/** Asks backend servers who they are; one health check at a time serves all who ask for the same server. */
export class ServerIdentities {
    private readonly calls = new FreshCalls<Address, ServerIdentity>();

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {}

    /**
     * Asks which server answers at an address.
     *
     * @param asked - address and health check
     */
    public identify(asked: ServerIdentityRequest): Promise<ServerIdentity> {
        return this.calls.ask(asked.address, () => this.ask(asked));
    }

    private async ask({ address, healthPath, idHeader }: ServerIdentityRequest): Promise<ServerIdentity> {
        const ended = new AbortController();
        const timedOut = new AbortController();
        void sleep(this.clock, ANSWER_TIMEOUT_MS, ended.signal).then(() => timedOut.abort(), () => {});
        try {
            const response = await get(`http://${address}${healthPath}`, timedOut.signal);
            const id = response.headers[idHeader];
            // The identifier is in the head.
            response.body.on("error", () => {}).destroy();
            return { kind: "answered", id: typeof id === "string" ? id : undefined };
        }
        catch {
            return { kind: "silent" };
        }
        finally {
            ended.abort();
        }
    }
}
