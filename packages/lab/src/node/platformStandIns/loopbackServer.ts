/**
 * HTTP server that the stand-ins of the platform have in common.
 *
 * @packageDocumentation
 */

import { type Address, splitAddress } from "@magnolialock/kernel";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

/** HTTP server that handles requests until it is disposed. */
export abstract class LoopbackServer implements AsyncDisposable {
    /** Underlying server of Node.js. */
    protected readonly server: Server;

    public constructor() {
        this.server = createServer((request, response) => void this.handleRequest(request, response));
    }

    /** Address on which it listens. */
    public get address(): Address {
        const { address, port } = this.server.address() as AddressInfo;
        return `${address}:${port}` as Address;
    }

    /**
     * Starts to listen.
     *
     * @param address - address to listen on; port 0 selects a free port
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
     * Handles one request.
     *
     * @param request - the request
     * @param response - response to write the answer to
     */
    protected abstract handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void>;
}
