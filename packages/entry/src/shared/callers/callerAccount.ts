/**
 * Account of what a process holds for its callers, with bounds over all connections. It addresses crowds of callers each of
 * which stays within the limits of one request: heads of many lines, bodies that stop short of their end, answers that are not
 * read, and very many connections.
 *
 * @packageDocumentation
 */

import type { CallerBounds } from "./callerBounds.ts";

/** Why the connection of a caller was closed. */
export type CloseCause = "memory" | "descriptors" | "flood" | "stalled";

/** Heap of a connection and of a request beside their contents, in bytes. */
const CONNECTION_BYTES = 4_096;
const REQUEST_BYTES = 8_192;
/** Heap of one header line beside its text, in bytes: name, value and their places in lists and maps. */
const HEADER_LINE_BYTES = 192;
/** Heap for each byte of a head whose lines are not counted yet: the shortest line takes seven bytes. */
const HEAP_PER_HEAD_BYTE = 20;
/** Most bytes of a head that the parser keeps. */
const MAX_HEAD_BYTES = 65_536;
/** Bytes after a request that may be the rest of its last line break. */
const LINE_BREAK_BYTES = 3;
/** Time without a byte from which a caller that owes the rest of a request is closed before those that owe none, in milliseconds. */
const MIN_SILENT_MS = 200;

/**
 * Estimates the heap that a request takes until its answer has left.
 *
 * @param lines - number of its header lines
 * @param textLength - length of its target and of their names and values, in characters
 * @returns the estimate, in bytes
 */
export const requestHeapBytes = (lines: number, textLength: number): number =>
    REQUEST_BYTES + lines * HEADER_LINE_BYTES + textLength;

/** What one connection holds. */
export class CallerHolding {
    /** Time at which its caller last sent something, in milliseconds. */
    public activeMs: number;
    private bodyBytes = 0;
    private bufferBytes = 0;
    private requestBytes = 0;
    private partialHeadBytes = 0;
    private sessionBytes = 0;
    private requests = 0;
    private unfinishedBodies = 0;
    private hasFinishedRequest = false;
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
        return this.heapBytes + this.bodyBytes + this.bufferBytes;
    }

    /** Bytes of the heap among them. */
    public get heapBytes(): number {
        return CONNECTION_BYTES + this.sessionBytes + this.requestBytes
            + Math.min(this.partialHeadBytes, MAX_HEAD_BYTES) * HEAP_PER_HEAD_BYTE;
    }

    /** Whether it carries no request. */
    public get isIdle(): boolean {
        return this.requests === 0;
    }

    /** Whether its caller has begun a request and owes the rest of it. */
    public get isUnfinished(): boolean {
        return this.unfinishedBodies > 0 || this.partialHeadBytes > LINE_BREAK_BYTES;
    }

    /** Whether its caller waits for the answer to a whole request. */
    public get isWaiting(): boolean {
        return this.requests > this.unfinishedBodies;
    }

    /** Whether its caller owes the rest of a request, or has never sent a whole one. */
    public get isUnproven(): boolean {
        return this.isUnfinished || this.isIdle && !this.hasFinishedRequest;
    }

    /**
     * Counts the state of a session that the connection carries.
     *
     * @param heapBytes - its heap, in bytes
     */
    public addSession(heapBytes: number): void {
        this.update(() => this.sessionBytes += heapBytes);
    }

    /**
     * Counts bytes of bodies.
     *
     * @param bytes - their number; negative when they are given back
     */
    public addBody(bytes: number): void {
        this.update(() => this.bodyBytes += bytes);
    }

    /**
     * Counts requests whose answers have not left.
     *
     * @param count - their number; negative when they have ended
     * @param heapBytes - heap of each of them, in bytes
     */
    public addRequests(count: number, heapBytes = REQUEST_BYTES): void {
        this.hasFinishedRequest ||= count < 0;
        this.update(() => {
            this.requests += count;
            this.requestBytes += count * heapBytes;
        });
    }

    /**
     * Counts requests whose bodies have not been read to their end.
     *
     * @param count - their number; negative when they have been read
     */
    public addUnfinishedBodies(count: number): void {
        this.unfinishedBodies += count;
    }

    /**
     * Replaces the count of bytes that the parser has taken and that belong to no request yet.
     *
     * @param bytes - their number
     */
    public setPartialHead(bytes: number): void {
        if (bytes !== this.partialHeadBytes) {
            this.update(() => this.partialHeadBytes = bytes);
        }
    }

    /**
     * Replaces the count of bytes in the buffers of its socket: answers that its caller has not read, and bytes that are not
     * parsed.
     *
     * @param bytes - their number
     */
    public setBuffered(bytes: number): void {
        if (bytes !== this.bufferBytes) {
            this.update(() => this.bufferBytes = bytes);
        }
    }

    /** Gives back all that it holds; what is recorded afterwards no longer counts. */
    public close(): void {
        if (this.isOpen) {
            this.isOpen = false;
            this.account.remove(this);
        }
    }

    private update(change: () => void): void {
        const { bytes, heapBytes } = this;
        change();
        if (this.isOpen) {
            this.account.change(this.bytes - bytes, this.heapBytes - heapBytes);
        }
    }
}

/** Account of one process. */
export class CallerAccount {
    private readonly holdings = new Set<CallerHolding>();
    private usedBytes = 0;
    private usedHeapBytes = 0;

    /** @param bounds - bounds over all connections */
    public constructor(public readonly bounds: CallerBounds) {}

    /** Bytes that all connections hold. */
    public get bytes(): number {
        return this.usedBytes;
    }

    /** Bytes of the heap among them. */
    public get heapBytes(): number {
        return this.usedHeapBytes;
    }

    /** Whether more than half of the bytes, or of those of the heap, are held. */
    public get isCrowded(): boolean {
        return this.usedBytes * 2 > this.bounds.bytes || this.usedHeapBytes * 2 > this.bounds.heapBytes;
    }

    /** Number of open connections. */
    public get connections(): number {
        return this.holdings.size;
    }

    /**
     * Adds a connection. If there are too many, one is closed: that of a caller that has been silent and owes a request, else the
     * longest silent one without a request, else the one that holds most.
     *
     * @param evict - closes the connection
     * @param nowMs - current time, in milliseconds
     */
    public open(evict: (cause: CloseCause) => void, nowMs: number): CallerHolding {
        const holding = new CallerHolding(this, evict, nowMs);
        if (this.holdings.size >= this.bounds.connections) {
            const minSilentMs = this.isMostlyUnproven ? 0 : MIN_SILENT_MS;
            const victim = this.longestSilent(({ activeMs, isUnproven }) =>
                isUnproven && nowMs - activeMs >= minSilentMs
            ) ?? this.longestSilent(({ isIdle, isUnproven }) =>
                isIdle && !isUnproven
            )
                ?? this.longestSilent(({ isUnproven }) => isUnproven)
                ?? this.mostExpensive(({ bytes }) => bytes);
            this.evict(victim, "descriptors");
        }
        this.holdings.add(holding);
        this.change(holding.bytes, holding.heapBytes);
        return holding;
    }

    /**
     * Changes the sums, and closes connections while one is over its bound.
     *
     * @param bytes - change, in bytes
     * @param heapBytes - change of the heap, in bytes
     */
    public change(bytes: number, heapBytes: number): void {
        this.usedBytes += bytes;
        this.usedHeapBytes += heapBytes;
        while (bytes > 0 && this.usedBytes > this.bounds.bytes && this.holdings.size > 0) {
            this.evict(this.mostExpensive(holding => holding.bytes), "memory");
        }
        while (heapBytes > 0 && this.usedHeapBytes > this.bounds.heapBytes && this.holdings.size > 0) {
            this.evict(this.mostExpensive(holding => holding.heapBytes), "memory");
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
            this.usedHeapBytes -= holding.heapBytes;
        }
    }

    private evict(holding: CallerHolding | undefined, cause: CloseCause): void {
        holding?.close();
        holding?.evict(cause);
    }

    /** Returns the connection that holds most, among those that owe the rest of a request if one of them holds its share. */
    private mostExpensive(cost: (holding: CallerHolding) => number): CallerHolding | undefined {
        let [most, mostUnfinished]: (CallerHolding | undefined)[] = [];
        let [mostCost, mostUnfinishedCost, sum] = [-1, -1, 0];
        for (const holding of this.holdings) {
            const own = cost(holding);
            sum += own;
            if (own > mostCost) {
                most = holding;
                mostCost = own;
            }
            if (own > mostUnfinishedCost && holding.isUnfinished) {
                mostUnfinished = holding;
                mostUnfinishedCost = own;
            }
        }
        return mostUnfinishedCost * this.holdings.size >= sum ? mostUnfinished : most;
    }

    private get isMostlyUnproven(): boolean {
        const unproven = [...this.holdings].filter(({ isUnproven }) => isUnproven).length;
        return unproven * 2 > this.holdings.size;
    }

    private longestSilent(isEligible: (holding: CallerHolding) => boolean): CallerHolding | undefined {
        let longest: CallerHolding | undefined;
        for (const holding of this.holdings) {
            if ((!longest || holding.activeMs < longest.activeMs) && isEligible(holding)) {
                longest = holding;
            }
        }
        return longest;
    }
}
