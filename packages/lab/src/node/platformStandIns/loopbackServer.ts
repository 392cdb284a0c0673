/**
 * An HTTP server on loopback, as the stand-ins of the platform share it.
 *
 * @packageDocumentation
 */

import { type Address, splitAddress } from "@magnolialock/kernel";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** Answers requests until it is disposed. */
export abstract class LoopbackServer implements AsyncDisposable {
    /** The server. */
    protected readonly server: Server;

    public constructor() {
        this.server = createServer((request, response) => void this.answer(request, response));
    }

    /** Where it listens. */
    public get address(): Address {
        const { address, port } = this.server.address() as AddressInfo;
        return `${address}:${port}` as Address;
    }

    /**
     * Listens.
     *
     * @param address - where; port 0 takes a free one
     */
    public async listen(address: Address): Promise<void> {
        const { host, port } = splitAddress(address);
        this.server.listen(port, host);
        await once(this.server, "listening");
    }

    /** Stops listening and closes all connections. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
        await once(this.server, "close");
    }

    /**
     * Answers one request.
     *
     * @param request - the request
     * @param response - its answer
     */
    protected abstract answer(request: IncomingMessage, response: ServerResponse): Promise<void>;
}
