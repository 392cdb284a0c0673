/**
 * Collects a body in segments whose number depends on its size, whatever chunks it comes in. It addresses bodies in chunks of
 * few bytes: an object for each chunk takes far more memory than its bytes, and keeps the buffer that was read.
 *
 * @packageDocumentation
 */

/** Size of the first segment of a body whose size is not announced, and of the largest, in bytes. */
const FIRST_SEGMENT_BYTES = 1_024;
const MAX_SEGMENT_BYTES = 65_536;
const SEGMENT_GROWTH = 4;

/** Memory that is kept for further bodies by default, in bytes. */
const DEFAULT_SPARE_BYTES = 4 * 1_024 * 1_024;

/** Segments of the largest size that bodies have given back, so that their memory does not wait for garbage collection. */
export class SegmentPool {
    private readonly spare: Buffer[] = [];

    /** @param maxSpareBytes - memory that is kept for further bodies, at most, in bytes */
    public constructor(private readonly maxSpareBytes = DEFAULT_SPARE_BYTES) {}

    /** Returns a segment with any content. */
    public take(): Buffer {
        return this.spare.pop() ?? Buffer.allocUnsafeSlow(MAX_SEGMENT_BYTES);
    }

    /**
     * Takes a segment back.
     *
     * @param segment - the segment, which nothing may use any more
     */
    public giveBack(segment: Buffer): void {
        if (
            segment.length === MAX_SEGMENT_BYTES && this.spare.length * MAX_SEGMENT_BYTES < this.maxSpareBytes
        ) {
            this.spare.push(segment);
        }
    }
}

/** Collects one body. */
export class BodyCollector {
    private full: Buffer[] = [];
    private segment: Buffer = Buffer.alloc(0);
    private used = 0;
    private nextBytes: number;
    private collectedBytes = 0;

    /**
     * @param announcedBytes - size that the caller announced; undefined if it did not
     * @param segments - segments that other bodies have given back
     * @param onAllocated - called with the bytes of each new segment
     */
    public constructor(
        announcedBytes: number | undefined,
        private readonly segments: SegmentPool,
        private readonly onAllocated: (bytes: number) => void,
    ) {
        this.nextBytes = Math.min(Math.max(announcedBytes ?? FIRST_SEGMENT_BYTES, 1), MAX_SEGMENT_BYTES);
    }

    /** Bytes collected so far. */
    public get bytes(): number {
        return this.collectedBytes;
    }

    /**
     * Adds bytes.
     *
     * @param chunk - the bytes; they are copied
     */
    public add(chunk: Buffer): void {
        this.collectedBytes += chunk.length;
        let taken = 0;
        while (taken < chunk.length) {
            if (this.used === this.segment.length) {
                this.allocate();
            }
            const count = chunk.copy(this.segment, this.used, taken);
            this.used += count;
            taken += count;
        }
    }

    /** Returns the body and gives up the segments. */
    public take(): Buffer {
        const last = this.segment.subarray(0, this.used);
        if (this.full.length === 0) {
            return last;
        }
        const body = Buffer.concat([...this.full, last], this.collectedBytes);
        this.discard();
        return body;
    }

    /** Gives up the segments of a body that is not needed. */
    public discard(): void {
        for (const segment of [...this.full, this.segment]) {
            this.segments.giveBack(segment);
        }
        this.full = [];
        this.segment = Buffer.alloc(0);
        this.used = 0;
    }

    private allocate(): void {
        if (this.used > 0) {
            this.full.push(this.segment);
        }
        this.segment = this.nextBytes === MAX_SEGMENT_BYTES
            ? this.segments.take()
            : Buffer.allocUnsafeSlow(this.nextBytes);
        this.used = 0;
        this.onAllocated(this.nextBytes);
        this.nextBytes = Math.min(this.nextBytes * SEGMENT_GROWTH, MAX_SEGMENT_BYTES);
    }
}
