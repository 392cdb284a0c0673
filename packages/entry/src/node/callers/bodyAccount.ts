/**
 * Account of the bodies of one connection, whatever its protocol.
 *
 * @packageDocumentation
 */

import type { SegmentPool } from "../../shared/callers/bodyCollector.ts";

/** Account of the bodies of one connection. */
export interface BodyAccount {
    /** Segments for the bodies of its requests. */
    readonly segments: SegmentPool;
    /**
     * Counts memory that a body takes until the requests of the connection have ended.
     *
     * @param bytes - its size; negative when it is given back
     */
    addBody(bytes: number): void;
    /**
     * Counts requests whose bodies have not been read to their end.
     *
     * @param count - their number; negative when they have been read
     */
    addUnfinishedBodies(count: number): void;
    /**
     * Records bytes of the body of a request.
     *
     * @param bytes - their number
     */
    recordBody(bytes: number): void;
}
