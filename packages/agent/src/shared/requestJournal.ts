/**
 * What became of the requests that may not be repeated. It makes each of them run at most once.
 *
 * @packageDocumentation
 */

import { type Clock, isFaultSeeded } from "@magnolialock/kernel";
import Denque from "denque";
import type { KeptAnswer } from "./keptAnswer.ts";
import type { Ticket } from "./ticket.ts";

/** State of one request. */
export type JournalEntry =
    /** It waits for its start; cancelling it surely prevents the start. */
    | { readonly kind: "waiting"; readonly cancel: () => void; readonly settled: Promise<void>; }
    /** It was handed to the backend server. */
    | { readonly kind: "running"; readonly settled: Promise<void>; }
    /** It is answered. */
    | { readonly kind: "finished"; readonly answer: KeptAnswer; }
    /** It has not run and never will. */
    | { readonly kind: "neverStarted"; }
    /** Whether it ran cannot be told. */
    | { readonly kind: "unknown"; };

/** A request with what identifies its content. */
export interface JournalRecord {
    /** Hash of account, method, path and body; undefined for a recall of a request that never came. */
    readonly fingerprint: string | undefined;
    /** Its state. */
    readonly entry: JournalEntry;
}

/** Options of a {@link RequestJournal}. */
export interface RequestJournalOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** How long a settled request is remembered, in milliseconds. */
    readonly lifetimeMs?: number;
    /** Most settled requests that are remembered. */
    readonly maxSettled?: number;
    /** Most bytes of kept answers. */
    readonly maxAnswerBytes?: number;
    /** Most issuers whose tickets are taken in this life. */
    readonly maxIssuers?: number;
}

/** Time for which answers are kept by default, in milliseconds. */
export const ANSWER_LIFETIME_MS = 60_000;
const DEFAULT_MAX_SETTLED = 65_536;
const DEFAULT_MAX_ANSWER_BYTES = 24 * 1024 * 1024;
const DEFAULT_MAX_ISSUERS = 10_000;

interface IssuerLog {
    /** Highest counter that was forgotten; what is not remembered up to it has an unknown outcome. */
    lowWaterMark: number;
    readonly records: Map<number, JournalRecord>;
}

interface SettledKey {
    readonly log: IssuerLog;
    readonly counter: number;
    readonly settledMs: number;
    readonly bytes: number;
}

const bytesOf = (entry: JournalEntry): number => entry.kind === "finished" ? entry.answer.byteLength : 0;

/** Remembers requests by issuer and counter of their tickets, in bounded memory. */
export class RequestJournal {
    private readonly clock: Clock;
    private readonly lifetimeMs: number;
    private readonly maxSettled: number;
    private readonly maxAnswerBytes: number;
    private readonly maxIssuers: number;
    private readonly issuers = new Map<string, IssuerLog>();
    private readonly settled = new Denque<SettledKey>();
    private answerBytesSum = 0;

    /** @param options - clock and bounds */
    public constructor(options: RequestJournalOptions) {
        this.clock = options.clock;
        this.lifetimeMs = options.lifetimeMs ?? ANSWER_LIFETIME_MS;
        this.maxSettled = options.maxSettled ?? DEFAULT_MAX_SETTLED;
        this.maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
        this.maxIssuers = options.maxIssuers ?? DEFAULT_MAX_ISSUERS;
    }

    /** Settled requests that are remembered. */
    public get settledCount(): number {
        return this.settled.length;
    }

    /** Bytes of kept answers. */
    public get answerBytes(): number {
        return this.answerBytesSum;
    }

    /**
     * Tells whether tickets of an issuer can be taken. An issuer is never forgotten, for its tickets would look new.
     *
     * @param issuer - the issuer
     * @returns false for a new issuer when there are too many
     */
    public acceptsIssuer(issuer: string): boolean {
        return this.issuers.has(issuer) || this.issuers.size < this.maxIssuers;
    }

    /**
     * Looks a request up.
     *
     * @param ticket - its ticket
     * @returns its record; undefined when it surely never came here
     */
    public find(ticket: Ticket): JournalRecord | undefined {
        if (isFaultSeeded("agent.forget-journal")) {
            return undefined;
        }
        this.forgetOld();
        const log = this.issuers.get(ticket.issuer);
        const record = log?.records.get(ticket.counter);
        if (!record && log && ticket.counter <= log.lowWaterMark) {
            return { fingerprint: undefined, entry: { kind: "unknown" } };
        }
        return record;
    }

    /**
     * Records a state. A settled state (finished, never started, unknown) is final.
     *
     * @param ticket - ticket of the request
     * @param record - its content and state
     */
    public record(ticket: Ticket, record: JournalRecord): void {
        const log = this.logOf(ticket.issuer);
        log.records.set(ticket.counter, record);
        const { entry } = record;
        if (entry.kind === "waiting" || entry.kind === "running") {
            return;
        }
        const bytes = bytesOf(entry);
        this.answerBytesSum += bytes;
        this.settled.push({ log, counter: ticket.counter, settledMs: this.clock.nowMs(), bytes });
        this.forgetOld();
    }

    private logOf(issuer: string): IssuerLog {
        let log = this.issuers.get(issuer);
        if (!log) {
            log = { lowWaterMark: 0, records: new Map() };
            this.issuers.set(issuer, log);
        }
        return log;
    }

    private forgetOld(): void {
        const oldestMs = this.clock.nowMs() - this.lifetimeMs;
        for (let key = this.settled.peekFront(); key; key = this.settled.peekFront()) {
            const isOver = key.settledMs < oldestMs || this.settled.length > this.maxSettled
                || this.answerBytesSum > this.maxAnswerBytes;
            if (!isOver) {
                return;
            }
            this.settled.shift();
            this.answerBytesSum -= key.bytes;
            key.log.records.delete(key.counter);
            key.log.lowWaterMark = Math.max(key.log.lowWaterMark, key.counter);
        }
    }
}
