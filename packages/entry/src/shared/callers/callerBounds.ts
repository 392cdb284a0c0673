/**
 * Bounds on what a process holds for its callers, derived from its machine.
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
    /** Bytes of the JavaScript heap among them. */
    readonly heapBytes: number;
    /** Connections of callers. */
    readonly connections: number;
}

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
/** Heap of a process that serves the ordinary load of the smallest machine, in bytes. */
const OWN_HEAP_BYTES = 40 * MIB;
/** Part of the rest of the heap that callers get: the collector needs room. */
const CALLER_HEAP_SHARE = 0.4;
/** Smallest bound of the heap, in bytes: 16 heads of the largest size that is published. */
const MIN_CALLER_HEAP_BYTES = 6 * MIB;
/** Descriptors for logs, listeners, the store and peers. */
const OWN_DESCRIPTORS = 64;
/** Part of the rest that callers get; the others are for connections to backend servers. */
const CALLER_DESCRIPTOR_SHARE = 0.6;
const MIN_CONNECTIONS = 16;

/**
 * Derives the bounds of a process from its machine.
 *
 * @param machine - resources of the machine
 * @param heapLimitBytes - limit of the JavaScript heap, in bytes
 */
export const callerBounds = (
    { descriptors, memoryBytes }: MachineLimits,
    heapLimitBytes: number,
): CallerBounds => ({
    bytes: Math.max(MIN_CALLER_BYTES, (memoryBytes - OWN_MEMORY_BYTES) * CALLER_MEMORY_SHARE),
    heapBytes: Math.max(MIN_CALLER_HEAP_BYTES, (heapLimitBytes - OWN_HEAP_BYTES) * CALLER_HEAP_SHARE),
    connections: Math.max(
        MIN_CONNECTIONS,
        Math.floor((descriptors - OWN_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE),
    ),
});
