/**
 * How common the parts of prompts are among the latest requests.
 *
 * @packageDocumentation
 */

import Denque from "denque";

/** Number of latest requests that count. */
const WINDOW_REQUESTS = 200;
/** Requests below which nothing can be said. */
const MIN_REQUESTS = 50;

/** Counts the parts of the latest requests. */
export class RecentParts {
    private readonly requests = new Denque<readonly string[]>();
    private readonly counts = new Map<string, number>();

    /**
     * Records a request.
     *
     * @param parts - shared parts of its prompt
     */
    public record(parts: readonly string[]): void {
        this.requests.push(parts);
        this.add(parts, 1);
        if (this.requests.length > WINDOW_REQUESTS) {
            this.add(this.requests.shift() ?? [], -1);
        }
    }

    /**
     * Returns the share of the latest requests that hold a part.
     *
     * @param part - the part
     * @returns the share, from 0 to 1; 0 while there were too few requests
     */
    public shareOf(part: string): number {
        return this.requests.length < MIN_REQUESTS ? 0 : (this.counts.get(part) ?? 0) / this.requests.length;
    }

    private add(parts: readonly string[], change: number): void {
        for (const part of parts) {
            const count = (this.counts.get(part) ?? 0) + change;
            if (count > 0) {
                this.counts.set(part, count);
            }
            else {
                this.counts.delete(part);
            }
        }
    }
}
