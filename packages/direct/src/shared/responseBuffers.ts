/**
 * Limits the memory of all responses that are buffered at a time. A faulty server may send a body without end;
 * when several do, a limit for each response alone would not protect the process.
 *
 * @packageDocumentation
 */

/** A response that is being buffered. */
export interface BufferedResponse {
    /**
     * Gives the response up, because it takes too much memory.
     *
     * @param reason - for the log
     */
    giveUp(reason: string): void;
}

/** Largest response that is buffered, in bytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Largest sum of all buffered responses, in bytes; a small instance has 250 MB for everything. */
const MAX_TOTAL_BYTES = 24 * 1024 * 1024;

/** Counts the buffered bytes of the running responses. */
export class ResponseBuffers {
    private readonly bytesByResponse = new Map<BufferedResponse, number>();
    private totalBytes = 0;

    /**
     * Sets how much a response has buffered. The largest response is given up while all together exceed the
     * limit, so that ordinary ones survive.
     *
     * @param response - the response
     * @param bytes - its buffered bytes; 0 once it has ended
     */
    public set(response: BufferedResponse, bytes: number): void {
        this.totalBytes += bytes - (this.bytesByResponse.get(response) ?? 0);
        if (bytes === 0) {
            this.bytesByResponse.delete(response);
            return;
        }
        this.bytesByResponse.set(response, bytes);
        if (bytes > MAX_RESPONSE_BYTES) {
            this.drop(response, `the answer is larger than ${MAX_RESPONSE_BYTES} bytes`);
        }
        while (this.totalBytes > MAX_TOTAL_BYTES) {
            const [largest] = [...this.bytesByResponse].reduce((left, right) =>
                left[1] >= right[1] ? left : right
            );
            this.drop(largest, `all answers together are larger than ${MAX_TOTAL_BYTES} bytes`);
        }
    }

    private drop(response: BufferedResponse, reason: string): void {
        this.set(response, 0);
        response.giveUp(reason);
    }
}
