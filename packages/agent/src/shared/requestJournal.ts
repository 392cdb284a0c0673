/**
 * Journal of the states and outcomes of non-repeatable requests, which ensures that each runs at most once.
 *
 * @packageDocumentation
 */

import { type Clock, isFaultSeeded } from "@magnolialock/kernel";
import Denque from "denque";
import type { StoredAnswer } from "./storedAnswer.ts";
import type { Ticket } from "./ticket.ts";

/** State of one request. */
export type JournalEntry =
    /** It is queued; `cancel` reliably prevents its start, `settled` resolves once it has an outcome. */
    | { readonly kind: "waiting"; readonly cancel: () => void; readonly settled: Promise<void>; }
    /** It was sent to the backend server; `settled` resolves once it has an outcome. */
    | { readonly kind: "running"; readonly settled: Promise<void>; }
    /** It was answered completely. */
    | { readonly kind: "finished"; readonly answer: StoredAnswer; }
    /** It has not run and never will. */
    | { readonly kind: "neverStarted"; }
    /** It is not known whether it ran. */
    | { readonly kind: "unknown"; };

/** Journal record of one request. */
export interface JournalRecord {
    /**
     * Hash of client account, service, method, path and body; undefined if the request was recalled before it
     * arrived or its record was evicted.
     */
    readonly fingerprint: string | undefined;
    /** State of the request. */
    readonly entry: JournalEntry;
}

/** Options of a {@link RequestJournal}. */
export interface RequestJournalOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** How long a settled request is kept, in milliseconds. */
    readonly lifetimeMs?: number;
    /** Maximum number of settled requests that are kept. */
    readonly maxSettled?: number;
    /** Maximum size of the stored answers, in bytes. */
    readonly maxAnswerBytes?: number;
    /** Maximum number of issuers whose tickets this incarnation accepts. */
    readonly maxIssuers?: number;
}

/** Default time for which settled requests and their answers are kept, in milliseconds. */
export const ANSWER_LIFETIME_MS = 60_000;
const DEFAULT_MAX_SETTLED = 65_536;
const DEFAULT_MAX_ANSWER_BYTES = 24 * 1024 * 1024;
const DEFAULT_MAX_ISSUERS = 10_000;

interface IssuerLog {
    /** Highest evicted counter; a request at or below it that has no record has an unknown outcome. */
    lowWaterMark: number;
    readonly records: Map<number, JournalRecord>;
}

interface SettledRequest {
    readonly log: IssuerLog;
    readonly counter: number;
    readonly settledMs: number;
    readonly bytes: number;
}

const answerBytesOf = (entry: JournalEntry): number =>
    entry.kind === "finished" ? entry.answer.byteLength : 0;

/** Stores requests by issuer and counter of their tickets, in bounded memory. */
export class RequestJournal {
    private readonly clock: Clock;
    private readonly lifetimeMs: number;
    private readonly maxSettled: number;
    private readonly maxAnswerBytes: number;
    private readonly maxIssuers: number;
    private readonly issuers = new Map<string, IssuerLog>();
    private readonly settled = new Denque<SettledRequest>();
    private totalAnswerBytes = 0;

    /** @param options - clock and bounds */
    public constructor(options: RequestJournalOptions) {
        this.clock = options.clock;
        this.lifetimeMs = options.lifetimeMs ?? ANSWER_LIFETIME_MS;
        this.maxSettled = options.maxSettled ?? DEFAULT_MAX_SETTLED;
        this.maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
        this.maxIssuers = options.maxIssuers ?? DEFAULT_MAX_ISSUERS;
    }

    /** Number of settled requests that are kept. */
    public get settledCount(): number {
        return this.settled.length;
    }

    /** Size of the stored answers, in bytes. */
    public get answerBytes(): number {
        return this.totalAnswerBytes;
    }

    /**
     * Checks whether tickets of an issuer can be accepted. An issuer is never forgotten, because its old
     * tickets would then look new.
     *
     * @param issuer - the issuer
     * @returns false for a new issuer if the limit of issuers is reached
     */
    public acceptsIssuer(issuer: string): boolean {
        return this.issuers.has(issuer) || this.issuers.size < this.maxIssuers;
    }

    /**
     * Looks up a request.
     *
     * @param ticket - ticket of the request
     * @returns its record; undefined only if it is certain that the request never arrived here
     */
    public find(ticket: Ticket): JournalRecord | undefined {
        if (isFaultSeeded("agent.forget-journal")) {
            return undefined;
        }
        this.evictSettled();
        const log = this.issuers.get(ticket.issuer);
        const record = log?.records.get(ticket.counter);
        if (!record && log && ticket.counter <= log.lowWaterMark) {
            return { fingerprint: undefined, entry: { kind: "unknown" } };
        }
        return record;
    }

    /**
     * Records the state of a request. A settled state (finished, never started or unknown) is final.
     *
     * @param ticket - ticket of the request
     * @param record - fingerprint and state of the request
     */
    public record(ticket: Ticket, record: JournalRecord): void {
        const log = this.getOrCreateLog(ticket.issuer);
        log.records.set(ticket.counter, record);
        const { entry } = record;
        if (entry.kind === "waiting" || entry.kind === "running") {
            return;
        }
        const bytes = answerBytesOf(entry);
        this.totalAnswerBytes += bytes;
        this.settled.push({ log, counter: ticket.counter, settledMs: this.clock.nowMs(), bytes });
        this.evictSettled();
    }

    private getOrCreateLog(issuer: string): IssuerLog {
        let log = this.issuers.get(issuer);
        if (!log) {
            log = { lowWaterMark: 0, records: new Map() };
            this.issuers.set(issuer, log);
        }
        return log;
    }

    private evictSettled(): void {
        const oldestMs = this.clock.nowMs() - this.lifetimeMs;
        for (let oldest = this.settled.peekFront(); oldest; oldest = this.settled.peekFront()) {
            const isEvictable = oldest.settledMs < oldestMs || this.settled.length > this.maxSettled
                || this.totalAnswerBytes > this.maxAnswerBytes;
            if (!isEvictable) {
                return;
            }
            this.settled.shift();
            this.totalAnswerBytes -= oldest.bytes;
            oldest.log.records.delete(oldest.counter);
            oldest.log.lowWaterMark = Math.max(oldest.log.lowWaterMark, oldest.counter);
        }
    }
}
