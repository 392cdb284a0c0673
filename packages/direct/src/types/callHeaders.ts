/**
 * Names of the headers that the load balancer reads and sets; each installation defines its own.
 *
 * @packageDocumentation
 */

/** Header names in lower case. */
export interface CallHeaderNames {
    /** Identifier of a request; backend servers repeat it in their responses. */
    readonly requestId: string;
    /** Remaining time for which the caller waits, in milliseconds. */
    readonly remainingMs: string;
    /** Identifier of the last event of a stream that the caller has received. */
    readonly lastEventId: string;
    /** Signature by which a backend server proves that a response is its own. */
    readonly signature: string;
    /** Client account; set only by the load balancer, never accepted from callers. */
    readonly account: string;
    /** The caller's API key. */
    readonly apiKey: string;
    /** Identifier of the only backend server that may run the request. */
    readonly targetServer: string;
    /** Version of the weights that the caller expects; a server with another one does not run the request. */
    readonly expectedVersion: string;
    /** On responses: identifier of the backend server. */
    readonly serverId: string;
    /** On responses: the request has not been run. */
    readonly notRun: string;
    /** On responses: address of the backend server that refuses because its group cannot run. */
    readonly refusingServer: string;
    /** Token counts that the caller declares: `<prompt>,<maximum output>`; forwarded unchanged. */
    readonly tokenUsage: string;
    /** Parts of the request's prompt, in order: a list of `<identifier>:<tokens>`. */
    readonly promptParts: string;
    /** On responses: requests per second that the server takes from all instances together. */
    readonly serverLimit: string;
    /** On responses: `1` if the server leaves and wants no further requests. */
    readonly leaving: string;
    /** Priority in a model server's queue, 0 to {@link MAX_QUEUE_PRIORITY}; 0 is the most urgent. */
    readonly queuePriority: string;
}

/** Largest priority value, the least urgent, that a model server's queue accepts. */
export const MAX_QUEUE_PRIORITY = 9;
