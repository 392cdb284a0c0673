/**
 * Line-based deltas between two contents of the rule file.
 *
 * @packageDocumentation
 */

import { ProtocolError } from "@magnolialock/kernel";

/** One step of a delta: copies a byte range of the old content, or inserts new bytes. */
export type DeltaStep =
    | { readonly kind: "copy"; readonly offset: number; readonly length: number; }
    | { readonly kind: "insert"; readonly bytes: Uint8Array; };

/** Steps that build the new content from the old one, in order. */
export type DeltaSteps = readonly DeltaStep[];

const NEWLINE = 0x0a;

const commonPrefixLength = (left: Uint8Array, right: Uint8Array): number => {
    const limit = Math.min(left.length, right.length);
    let length = 0;
    while (length < limit && left[length] === right[length]) {
        length++;
    }
    return length;
};

/** Calls the visitor with the start and end offset of each line. */
const forEachLine = (bytes: Uint8Array, visit: (start: number, end: number) => void): void => {
    for (let start = 0; start < bytes.length;) {
        const newline = bytes.indexOf(NEWLINE, start);
        const end = newline < 0 ? bytes.length : newline + 1;
        visit(start, end);
        start = end;
    }
};

const textOf = (bytes: Buffer, start: number, end: number): string => bytes.toString("latin1", start, end);

/** Maps the text of each line to the offset of its first occurrence. */
const indexLines = (bytes: Buffer): Map<string, number> => {
    const offsets = new Map<string, number>();
    forEachLine(bytes, (start, end) => {
        const text = textOf(bytes, start, end);
        if (!offsets.has(text)) {
            offsets.set(text, start);
        }
    });
    return offsets;
};

/** Collects steps and merges adjacent ones. */
class StepBuilder {
    private readonly steps: DeltaStep[] = [];
    private copyStart = 0;
    private copyEnd = 0;
    private inserted: Uint8Array[] = [];

    /** End of the current copy, as an offset in the old content. */
    public get copyEndOffset(): number {
        return this.copyEnd;
    }

    public copy(offset: number, length: number): void {
        if (offset !== this.copyEnd || this.inserted.length > 0) {
            this.flush();
            this.copyStart = offset;
        }
        this.copyEnd = offset + length;
    }

    public insert(bytes: Uint8Array): void {
        this.inserted.push(bytes);
    }

    public finish(): DeltaSteps {
        this.flush();
        return this.steps;
    }

    private flush(): void {
        if (this.copyEnd > this.copyStart) {
            this.steps.push({ kind: "copy", offset: this.copyStart, length: this.copyEnd - this.copyStart });
        }
        if (this.inserted.length > 0) {
            this.steps.push({ kind: "insert", bytes: Buffer.concat(this.inserted) });
        }
        this.copyStart = this.copyEnd;
        this.inserted = [];
    }
}

/**
 * Computes a delta in linear time: a line of the new content that occurs anywhere in the old one is copied.
 *
 * @param oldBytes - content that the receiver already has
 * @param newBytes - content to transfer
 * @returns the delta
 */
export const diffContent = (oldBytes: Uint8Array, newBytes: Uint8Array): DeltaSteps => {
    const oldContent = Buffer.from(oldBytes.buffer, oldBytes.byteOffset, oldBytes.byteLength);
    const newContent = Buffer.from(newBytes.buffer, newBytes.byteOffset, newBytes.byteLength);
    const builder = new StepBuilder();
    const prefixLength = commonPrefixLength(oldContent, newContent);
    const prefixEnd = prefixLength === 0 ? 0 : oldContent.lastIndexOf(NEWLINE, prefixLength - 1) + 1;
    builder.copy(0, prefixEnd);
    const offsets = indexLines(oldContent);
    const rest = newContent.subarray(prefixEnd);
    let nextOldOffset = prefixEnd;
    forEachLine(rest, (start, end) => {
        const length = end - start;
        const isNext = nextOldOffset + length <= oldContent.length
            && oldContent.compare(rest, start, end, nextOldOffset, nextOldOffset + length) === 0;
        const offset = isNext ? nextOldOffset : offsets.get(textOf(rest, start, end));
        if (offset === undefined) {
            builder.insert(rest.subarray(start, end));
            return;
        }
        builder.copy(offset, length);
        nextOldOffset = builder.copyEndOffset;
    });
    return builder.finish();
};

/**
 * Applies a delta.
 *
 * @param oldBytes - base content of the delta
 * @param steps - the delta
 * @param maxBytes - maximum size of the result, in bytes
 * @returns the new content
 * @throws ProtocolError if a step exceeds the old content or the result exceeds the maximum
 */
export const applyDelta = (oldBytes: Uint8Array, steps: DeltaSteps, maxBytes: number): Uint8Array => {
    const pieces: Uint8Array[] = [];
    let size = 0;
    for (const step of steps) {
        if (step.kind === "copy" && step.offset + step.length > oldBytes.length) {
            throw new ProtocolError("delta step copies a range outside the old content");
        }
        const piece = step.kind === "copy"
            ? oldBytes.subarray(step.offset, step.offset + step.length)
            : step.bytes;
        size += piece.length;
        if (size > maxBytes) {
            throw new ProtocolError(`delta result exceeds the maximum of ${maxBytes} bytes`);
        }
        pieces.push(piece);
    }
    return Buffer.concat(pieces, size);
};

/**
 * Estimates the encoded size of a delta.
 *
 * @param steps - the delta
 * @returns approximate size, in bytes
 */
export const estimateDeltaBytes = (steps: DeltaSteps): number =>
    steps.reduce((total, step) => total + (step.kind === "copy" ? 8 : step.bytes.length + 4), 0);
