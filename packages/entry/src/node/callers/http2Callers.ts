/**
 * Sessions of the callers of one HTTP/2 server, within the bounds of its process.
 *
 * @packageDocumentation
 */

import type { Timer } from "@magnolialock/kernel";
import type {
    Http2Server,
    Http2Session,
    IncomingHttpHeaders,
    ServerHttp2Session,
    ServerHttp2Stream,
} from "node:http2";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import { SegmentPool } from "../../shared/callers/bodyCollector.ts";
import { type CallerHolding, requestHeapBytes } from "../../shared/callers/callerAccount.ts";
import type { BodyAccount } from "./bodyAccount.ts";
import type { CallerConnectionsOptions } from "./callerConnections.ts";
import { ReadTurns } from "./callerReader.ts";
import { PacedSocket } from "./pacedSocket.ts";

/** Time between checks of the sessions, in milliseconds. */
const CHECK_PERIOD_MS = 250;
/** Part of what callers may hold that is kept for further bodies: that of a closed session would wait for garbage collection. */
const SPARE_SHARE = 0.25;
/** Heap of a session beside that of its connection: tables of header compression and native state, in bytes. */
const SESSION_BYTES = 32 * 1_024;
/** Heap of a stream beside its request, in bytes. */
const STREAM_BYTES = 8 * 1_024;

const sessions = new WeakMap<Http2Session, Http2Caller>();

/**
 * Returns the account of the bodies of a session; undefined where callers have no bounds.
 *
 * @param session - the session
 */
export const bodyAccountOfSession = (session: Http2Session | undefined): BodyAccount | undefined =>
    session && sessions.get(session);

/** Heap that a stream takes until it has closed, by its head, in bytes. */
const streamHeapBytes = (rawHeaders: readonly string[]): number =>
    STREAM_BYTES
    + requestHeapBytes(rawHeaders.length / 2, rawHeaders.reduce((sum, text) => sum + text.length, 0));

/** One session of a caller. */
class Http2Caller implements BodyAccount {
    private readonly holding: CallerHolding;
    private readonly streams = new Set<ServerHttp2Stream>();

    public constructor(
        private readonly session: ServerHttp2Session,
        private readonly options: CallerConnectionsOptions,
        public readonly segments: SegmentPool,
    ) {
        const { account, clock, onClosed } = options;
        sessions.set(session, this);
        this.holding = account.open(cause => {
            onClosed(cause);
            session.destroy();
        }, clock.nowMs());
        this.holding.addSession(SESSION_BYTES);
        session.once("close", () => this.holding.close());
        session.on(
            "stream",
            (
                stream: ServerHttp2Stream,
                _headers: IncomingHttpHeaders,
                _flags: number,
                rawHeaders: readonly string[],
            ) => this.addStream(stream, streamHeapBytes(rawHeaders)),
        );
    }

    public addBody(bytes: number): void {
        this.holding.addBody(bytes);
    }

    public addUnfinishedBodies(count: number): void {
        this.holding.addUnfinishedBodies(count);
    }

    public recordBody(): void {
        this.recordActivity();
    }

    /**
     * Counts what is in the buffers of its streams, and closes the session if its caller owes the rest of a request, waits for no
     * answer and has been silent.
     */
    public check(): void {
        const { holding, session } = this;
        const { clock, maxSilentMs, onClosed } = this.options;
        if (session.destroyed) {
            return;
        }
        let bufferBytes = session.socket.writableLength;
        for (const { readableLength, writableLength } of this.streams) {
            bufferBytes += readableLength + writableLength;
        }
        holding.setBuffered(bufferBytes);
        const isSilent = clock.nowMs() - holding.activeMs > maxSilentMs();
        if (isSilent && holding.isUnfinished && !holding.isWaiting && !session.destroyed) {
            onClosed("stalled");
            session.destroy();
        }
    }

    private addStream(stream: ServerHttp2Stream, heapBytes: number): void {
        this.recordActivity();
        this.streams.add(stream);
        stream.once("close", () => {
            this.streams.delete(stream);
            this.holding.addRequests(-1, heapBytes);
        });
        this.holding.addRequests(1, heapBytes);
    }

    private recordActivity(): void {
        this.holding.activeMs = this.options.clock.nowMs();
    }
}

/** Sessions of the callers of one server. */
export class Http2Callers implements Disposable {
    private readonly callers = new Map<ServerHttp2Session, Http2Caller>();
    private readonly segments: SegmentPool;
    private timer: Timer | undefined;

    private readonly turns: ReadTurns;

    /** @param options - account and source of time */
    public constructor(private readonly options: CallerConnectionsOptions) {
        this.turns = new ReadTurns(options.clock);
        this.segments = new SegmentPool(options.account.bounds.bytes * SPARE_SHARE);
    }

    /**
     * Reads the connections of a server in turns, follows its sessions, and checks them once it listens.
     *
     * @param server - the server, before anything else listens for its connections
     */
    public follow(server: Http2Server): void {
        const [openSession] = server.listeners("connection") as ((socket: Duplex) => void)[];
        server.removeAllListeners("connection");
        server.on("connection", (socket: Socket) => {
            const { account } = this.options;
            openSession?.call(server, new PacedSocket(socket, this.turns, () => account.isCrowded));
        });
        server.on("session", session => {
            this.callers.set(session, new Http2Caller(session, this.options, this.segments));
            session.once("close", () => this.callers.delete(session));
        });
        server.once("listening", () => this.scheduleCheck());
    }

    /** Ends the checks. */
    public [Symbol.dispose](): void {
        this.timer?.cancel();
    }

    private scheduleCheck(): void {
        this.timer = this.options.clock.setTimer(CHECK_PERIOD_MS, () => {
            this.callers.forEach(caller => caller.check());
            this.scheduleCheck();
        });
    }
}
