/**
 * What became of the requests that may not be repeated. It makes each of them run at most once.
 *
 * @packageDocumentation
 */

import type { RunEvent } from "@magnolialock/protocol";

/** State of one request. */
export type JournalEntry =
    | { readonly kind: "running"; readonly finished: Promise<readonly RunEvent[]>; }
    | { readonly kind: "finished"; readonly answer: readonly RunEvent[]; }
    | { readonly kind: "recalled"; }
    | { readonly kind: "unknown"; };

/** Remembers requests by ticket. */
export class RequestJournal {
    private readonly entries = new Map<string, JournalEntry>();

    /**
     * Looks a request up.
     *
     * @param ticket - its ticket
     * @returns its state, or undefined when it never came here
     */
    public find(ticket: string): JournalEntry | undefined {
        return this.entries.get(ticket);
    }

    /**
     * Records a state.
     *
     * @param ticket - ticket of the request
     * @param entry - its state
     */
    public record(ticket: string, entry: JournalEntry): void {
        this.entries.set(ticket, entry);
    }
}
