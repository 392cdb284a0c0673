/**
 * Network over real sockets: the Connect protocol over HTTP/2 for calls, UDP for datagrams.
 *
 * @packageDocumentation
 */

import type { Interceptor, Transport } from "@connectrpc/connect";
import { connectNodeAdapter, createConnectTransport, Http2SessionManager } from "@connectrpc/connect-node";
import { once } from "node:events";
import { createServer, type Http2Server, type ServerHttp2Session } from "node:http2";
import { connect, type Socket } from "node:net";
import type { Address } from "../shared/brand.ts";
import type { HybridClock } from "../shared/hybridClock.ts";
import {
    createClientClockInterceptor,
    createServerClockInterceptor,
} from "../shared/hybridClockInterceptors.ts";
import type { Network, ServiceBinding } from "../shared/network.ts";
import { splitAddress } from "./address.ts";
import { openDatagramSocket } from "./datagramSocket.ts";
import { createSystemClock } from "./systemClock.ts";

/** Largest message that a peer may send, in bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;
/** Largest number of concurrent streams on one connection. */
const MAX_CONCURRENT_STREAMS = 10_000;
/** Idle connections are closed after this time, in milliseconds. */
const IDLE_CONNECTION_TIMEOUT_MS = 60_000;
/** A connection is closed if an HTTP/2 ping stays unanswered for this time, in milliseconds. */
const PING_TIMEOUT_MS = 3_000;
/** Time between pings while calls are open, in milliseconds. */
const PING_INTERVAL_MS = 5_000;
/** Time that open streams get to finish when a server closes, in milliseconds. */
const CLOSE_GRACE_MS = 500;
/** HTTP/2 flow-control window of a stream, in bytes; one `Session` stream carries many responses. */
const STREAM_WINDOW_BYTES = 4 * 1024 * 1024;

const systemClock = createSystemClock();

const baseUrlOf = (address: Address): string => `http://${address}`;

const listenOn = (server: Http2Server, address: Address): Promise<void> =>
    new Promise((resolve, reject) => {
        const { host, port } = splitAddress(address);
        server.once("error", reject);
        server.listen(port, host, () => {
            server.off("error", reject);
            resolve();
        });
    });

/** Lets open streams finish within the grace period, then destroys the connections that peers keep open. */
const closeServer = async (
    server: Http2Server,
    sessions: ReadonlySet<ServerHttp2Session>,
    sockets: ReadonlySet<Socket>,
): Promise<void> => {
    const closed = once(server, "close");
    // A session that is closing leaves its socket open until the peer has taken the bytes in it.
    const graceTimer = systemClock.setTimer(
        CLOSE_GRACE_MS,
        () => sockets.forEach(socket => socket.destroy()),
    );
    server.close();
    sessions.forEach(session => session.close());
    await closed;
    graceTimer.cancel();
};

const serveBindings = async (
    address: Address,
    bindings: readonly ServiceBinding[],
    interceptors: Interceptor[],
): Promise<AsyncDisposable> => {
    const handler = connectNodeAdapter({
        interceptors,
        routes: router => {
            for (const { service, implementation } of bindings) {
                router.service(service, implementation);
            }
        },
        readMaxBytes: MAX_MESSAGE_BYTES,
        writeMaxBytes: MAX_MESSAGE_BYTES,
    });
    const server = createServer({
        settings: { maxConcurrentStreams: MAX_CONCURRENT_STREAMS, initialWindowSize: STREAM_WINDOW_BYTES },
    }, handler);
    const sockets = new Set<Socket>();
    server.on("connection", (socket: Socket) => {
        // Messages are small: Nagle's algorithm would hold them back until the peer's delayed acknowledgement.
        socket.setNoDelay(true);
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    const sessions = new Set<ServerHttp2Session>();
    server.on("session", session => {
        sessions.add(session);
        session.once("close", () => sessions.delete(session));
        session.on("error", () => session.destroy());
    });
    await listenOn(server, address);
    return { [Symbol.asyncDispose]: () => closeServer(server, sessions, sockets) };
};

/** Options of {@link createTcpNetwork}. */
export interface TcpNetworkOptions {
    /** Clock that stamps outgoing messages and follows incoming ones; without it, messages carry no time. */
    readonly hybridClock?: HybridClock;
}

/**
 * Creates the network that real processes use.
 *
 * @param options - hybrid clock
 * @returns the network; disposing it closes its outgoing connections
 */
export const createTcpNetwork = (options: TcpNetworkOptions = {}): Network & AsyncDisposable => {
    const { hybridClock } = options;
    const peers = new Map<
        Address,
        { readonly transport: Transport; readonly sessions: Http2SessionManager; }
    >();
    const createPeerTransport = (address: Address): Transport => {
        const { host, port } = splitAddress(address);
        const sessions = new Http2SessionManager(
            baseUrlOf(address),
            {
                idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
                pingIntervalMs: PING_INTERVAL_MS,
                pingTimeoutMs: PING_TIMEOUT_MS,
            },
            {
                createConnection: () => connect({ host, port, noDelay: true }),
                settings: { initialWindowSize: STREAM_WINDOW_BYTES },
            },
        );
        const transport = createConnectTransport({
            baseUrl: baseUrlOf(address),
            httpVersion: "2",
            sessionManager: sessions,
            readMaxBytes: MAX_MESSAGE_BYTES,
            interceptors: hybridClock ? [createClientClockInterceptor(hybridClock)] : [],
        });
        peers.set(address, { transport, sessions });
        return transport;
    };
    return {
        transportTo: address => peers.get(address)?.transport ?? createPeerTransport(address),
        listen: (address, bindings) =>
            serveBindings(address, bindings, hybridClock ? [createServerClockInterceptor(hybridClock)] : []),
        openDatagramSocket,
        [Symbol.asyncDispose]: async () => {
            for (const { sessions } of peers.values()) {
                sessions.abort();
            }
            peers.clear();
        },
    };
};
