/**
 * Splits the bytes of a server-sent event stream into complete events, so that a stream that breaks within an
 * event can be resumed at another backend server without a partial, missing or repeated event.
 *
 * @packageDocumentation
 */

/** One complete event. */
export interface StreamEvent {
    /** Its bytes, including the blank line that ends it. */
    readonly bytes: Buffer;
    /** Its numeric identifier; undefined if it has none. */
    readonly id: number | undefined;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /(?:^|\n)id:[ ]?(\d+)\r?\n/;

/** Returns the position after the blank line that ends the event at `from`; -1 if the event is incomplete. */
const eventEnd = (bytes: Buffer, from: number): number => {
    for (let feed = bytes.indexOf(LINE_FEED, from); feed >= 0; feed = bytes.indexOf(LINE_FEED, feed + 1)) {
        const next = bytes[feed + 1];
        if (next === LINE_FEED) {
            return feed + 2;
        }
        if (next === CARRIAGE_RETURN && bytes[feed + 2] === LINE_FEED) {
            return feed + 3;
        }
    }
    return -1;
};

/** Bytes of the longest line ends that end an event. */
const LONGEST_END_BYTES = 4;
/** Largest event, in bytes; a faulty server may send bytes without end in which no event ends. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Splits one stream; the bytes of an incomplete event are buffered. */
export class EventStreamSplitter {
    private readonly remainder: Buffer[] = [];
    private remainderBytes = 0;

    /** Number of buffered bytes of an incomplete event. */
    public get pendingBytes(): number {
        return this.remainderBytes;
    }

    /** Whether the incomplete event is larger than any event may be; the stream must be given up. */
    public get isOverlong(): boolean {
        return this.remainderBytes > MAX_EVENT_BYTES;
    }

    /**
     * Adds the next bytes.
     *
     * @param chunk - the bytes, in stream order
     * @returns the events that are complete now
     */
    public push(chunk: Buffer): StreamEvent[] {
        if (this.remainderBytes > 0 && !this.mayEndEvent(chunk)) {
            this.keep(chunk);
            return [];
        }
        const bytes = this.remainderBytes === 0 ? chunk : Buffer.concat([...this.remainder, chunk]);
        // No event ends within the remainder alone.
        const searchedBytes = Math.max(0, this.remainderBytes - LONGEST_END_BYTES);
        this.remainder.length = 0;
        this.remainderBytes = 0;
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = eventEnd(bytes, searchedBytes); end >= 0; end = eventEnd(bytes, start)) {
            const event = bytes.subarray(start, end);
            const id = ID_LINE.exec(event.toString("latin1"))?.[1];
            events.push({ bytes: event, id: id === undefined ? undefined : Number(id) });
            start = end;
        }
        this.keep(bytes.subarray(start));
        return events;
    }

    /** Without a line feed no event ends, so a long event is joined once instead of for each chunk. */
    private mayEndEvent(chunk: Buffer): boolean {
        return chunk.includes(LINE_FEED);
    }

    private keep(bytes: Buffer): void {
        if (bytes.length > 0) {
            this.remainder.push(bytes);
            this.remainderBytes += bytes.length;
        }
    }
}
