/**
 * Names of the headers that the load balancer reads and sets, as an installation spells them.
 *
 * @packageDocumentation
 */

/** Header names in lower case. */
export interface CallHeaderNames {
    /** Identifier of a request; backend servers repeat it in their answers. */
    readonly requestId: string;
    /** Time that the caller still waits, in milliseconds. */
    readonly timeLeftMs: string;
    /** Last event of a stream that the caller has. */
    readonly lastEventId: string;
    /** Proof of a backend server that an answer is its own. */
    readonly signature: string;
    /** Client account, set by the load balancer only. */
    readonly account: string;
    /** The caller's API key. */
    readonly apiKey: string;
    /** The only backend server that may run the request. */
    readonly targetServer: string;
    /** On answers: the request has not run. */
    readonly notRun: string;
    /** On answers: address of the backend server that refuses because its group cannot run. */
    readonly faultServer: string;
    /** Rank in a model server's queue, 0 to 9. */
    readonly queuePriority: string;
}

/** Ranks that a model server's queue knows. */
export const MAX_QUEUE_PRIORITY = 9;
