/** A backend server that writes bytes of its own to its sockets, for answers that no HTTP server sends. */

import { type Address, branded } from "@magnolialock/kernel";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** Listens on a loopback address and passes each connection on. */
export abstract class RawServer implements AsyncDisposable {
    private readonly sockets = new Set<Socket>();
    private readonly server = createServer(socket => {
        this.sockets.add(socket);
        socket.on("error", () => {});
        socket.once("close", () => this.sockets.delete(socket));
        this.serve(socket);
    });

    /** Starts listening. */
    public async listen(): Promise<Address> {
        this.server.listen(0, "127.0.0.1");
        // A test that fails before it has an owner for the server must not keep its process from ending.
        this.server.unref();
        await once(this.server, "listening");
        return branded<Address>(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
    }

    public async [Symbol.asyncDispose](): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        if (this.server.listening) {
            this.server.close();
            await once(this.server, "close");
        }
    }

    /** Ends as a process does that is killed: nothing listens any more, and the operating system closes all connections. */
    protected endAsKilled(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.end());
    }

    /** Reads requests from a new connection and writes answers. */
    protected abstract serve(socket: Socket): void;
}
