/**
 * Account of what a process holds for its callers, with bounds over all connections. It addresses crowds of callers each of
 * which stays within the limits of one request: bodies that stop short of their end, answers that are not read, and very many
 * connections.
 *
 * @packageDocumentation
 */

/** Resources of the machine that a process may use. */
export interface MachineLimits {
    /** Memory, in bytes. */
    readonly memoryBytes: number;
    /** Descriptors that may be open at the same time. */
    readonly descriptors: number;
}

/** Bounds on what a process holds for its callers. */
export interface CallerBounds {
    /** Bytes on all connections together. */
    readonly bytes: number;
    /** Connections of callers. */
    readonly connections: number;
}

/** Why the connection of a caller was closed. */
export type CloseCause = "memory" | "descriptors" | "flood";

const MIB = 1_048_576;
const MB = 1_000_000;
/** Machine of a process whose settings name no limits: the smallest that is in use. */
export const DEFAULT_MACHINE: MachineLimits = { memoryBytes: 200 * MB, descriptors: 2_000 };
/** Memory of a process that serves the ordinary load of the smallest machine, in bytes. */
const OWN_MEMORY_BYTES = 120 * MIB;
/** Part of the rest that callers get: a complete body is copied once, and garbage waits for its collection. */
const CALLER_MEMORY_SHARE = 0.4;
/** Smallest bound, in bytes: three bodies of the largest size that is published. */
const MIN_CALLER_BYTES = 12 * MIB;
/** Descriptors for logs, listeners, the store and peers. */
const OWN_DESCRIPTORS = 64;
/** Part of the rest that callers get; the others are for connections to backend servers. */
const CALLER_DESCRIPTOR_SHARE = 0.6;
const MIN_CONNECTIONS = 16;
/** Memory of a connection and of a request beside their contents, in bytes. */
const CONNECTION_BYTES = 4_096;
const REQUEST_BYTES = 8_192;

/**
 * Derives the bounds of a process from its machine.
 *
 * @param machine - resources of the machine
 */
export const callerBounds = ({ descriptors, memoryBytes }: MachineLimits): CallerBounds => ({
    bytes: Math.max(MIN_CALLER_BYTES, (memoryBytes - OWN_MEMORY_BYTES) * CALLER_MEMORY_SHARE),
    connections: Math.max(
        MIN_CONNECTIONS,
        Math.floor((descriptors - OWN_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE),
    ),
});

/** What one connection holds. */
export class CallerHolding {
    /** Time at which its caller last sent something, in milliseconds. */
    public activeMs: number;
    private bodyBytes = 0;
    private bufferBytes = 0;
    private requests = 0;
    private isOpen = true;

    /**
     * @param account - account of the process
     * @param evict - closes the connection
     * @param nowMs - current time, in milliseconds
     */
    public constructor(
        private readonly account: CallerAccount,
        public readonly evict: (cause: CloseCause) => void,
        nowMs: number,
    ) {
        this.activeMs = nowMs;
    }

    /** Bytes that count for it. */
    public get bytes(): number {
        return CONNECTION_BYTES + this.bodyBytes + this.bufferBytes + this.requests * REQUEST_BYTES;
    }

    /** Whether it carries no request. */
    public get isIdle(): boolean {
        return this.requests === 0;
    }

    /**
     * Counts bytes of bodies.
     *
     * @param bytes - their number; negative when they are given back
     */
    public addBody(bytes: number): void {
        this.bodyBytes += bytes;
        this.add(bytes);
    }

    /**
     * Counts requests whose answers have not left.
     *
     * @param count - their number; negative when they have ended
     */
    public addRequests(count: number): void {
        this.requests += count;
        this.add(count * REQUEST_BYTES);
    }

    /**
     * Replaces the count of bytes in the buffers of its socket: answers that its caller has not read, and bytes that are not
     * parsed.
     *
     * @param bytes - their number
     */
    public setBuffered(bytes: number): void {
        const change = bytes - this.bufferBytes;
        this.bufferBytes = bytes;
        this.add(change);
    }

    /** Gives back all that it holds; what is recorded afterwards no longer counts. */
    public close(): void {
        if (this.isOpen) {
            this.isOpen = false;
            this.account.remove(this);
        }
    }

    private add(bytes: number): void {
        if (this.isOpen) {
            this.account.change(bytes);
        }
    }
}

/** Account of one process. */
export class CallerAccount {
    private readonly holdings = new Set<CallerHolding>();
    private usedBytes = 0;

    /** @param bounds - bounds over all connections */
    public constructor(public readonly bounds: CallerBounds) {}

    /** Bytes that all connections hold. */
    public get bytes(): number {
        return this.usedBytes;
    }

    /** Whether more than half of the bytes are held. */
    public get isCrowded(): boolean {
        return this.usedBytes * 2 > this.bounds.bytes;
    }

    /** Number of open connections. */
    public get connections(): number {
        return this.holdings.size;
    }

    /**
     * Adds a connection. If there are too many, the one without a request that has been silent for longest is closed, or
     * else the one that holds most.
     *
     * @param evict - closes the connection
     * @param nowMs - current time, in milliseconds
     */
    public open(evict: (cause: CloseCause) => void, nowMs: number): CallerHolding {
        const holding = new CallerHolding(this, evict, nowMs);
        if (this.holdings.size >= this.bounds.connections) {
            this.evict(this.longestIdle() ?? this.mostExpensive(), "descriptors");
        }
        this.holdings.add(holding);
        this.change(holding.bytes);
        return holding;
    }

    /**
     * Changes the sum, and closes connections while it is over the bound.
     *
     * @param bytes - change, in bytes
     */
    public change(bytes: number): void {
        this.usedBytes += bytes;
        while (bytes > 0 && this.usedBytes > this.bounds.bytes && this.holdings.size > 0) {
            this.evict(this.mostExpensive(), "memory");
        }
    }

    /**
     * Removes a connection that is closed.
     *
     * @param holding - what it holds
     */
    public remove(holding: CallerHolding): void {
        if (this.holdings.delete(holding)) {
            this.usedBytes -= holding.bytes;
        }
    }

    private evict(holding: CallerHolding | undefined, cause: CloseCause): void {
        holding?.close();
        holding?.evict(cause);
    }

    private mostExpensive(): CallerHolding | undefined {
        let most: CallerHolding | undefined;
        for (const holding of this.holdings) {
            most = !most || holding.bytes > most.bytes ? holding : most;
        }
        return most;
    }

    private longestIdle(): CallerHolding | undefined {
        let longest: CallerHolding | undefined;
        for (const holding of this.holdings) {
            if (holding.isIdle && (!longest || holding.activeMs < longest.activeMs)) {
                longest = holding;
            }
        }
        return longest;
    }
}
