/**
 * The configuration that is in force in this process. It only moves to higher accepted revisions.
 *
 * @packageDocumentation
 */

import {
    contentHash,
    type EventLog,
    type Finding,
    formatFinding,
    isFaultSeeded,
    type Revision,
} from "@magnolialock/kernel";
import { type ParsedRules, parseRules, type RuleSet } from "@magnolialock/rules";
import { configurationAccepted, configurationRejected } from "./controlEvents.ts";

/** A configuration that every instance accepts. */
export interface AcceptedConfiguration {
    /** Number that the platform gave it. */
    readonly revision: Revision;
    /** Hash of the file. */
    readonly contentHash: string;
    /** The file. */
    readonly bytes: Uint8Array;
    /** Its rules. */
    readonly rules: RuleSet;
}

/** A revision that cannot be put in force. */
export interface RejectedConfiguration {
    /** Number that the platform gave it. */
    readonly revision: Revision;
    /** What is wrong with it. */
    readonly findings: readonly Finding[];
}

/** What became of an offered revision. */
export type OfferOutcome = "accepted" | "rejected" | "old";

/** Called after each change of the configuration in force. */
export type ConfigurationListener = (configuration: AcceptedConfiguration) => void;

/** Called after each confirmation, with its time on the process's monotonic clock in milliseconds. */
export type ConfirmationListener = (confirmedAtMs: number) => void;

/** Parser of rule files: a pure function of the bytes, so its results can be shared. */
export type RulesParser = (bytes: Uint8Array, contentHash: string) => ParsedRules;

/** Options of a {@link ConfigurationStore}. */
export interface ConfigurationStoreOptions {
    /** Event log of the process. */
    readonly events: EventLog;
    /** Parser of rule files. */
    readonly parse?: RulesParser;
    /** Gives the copy of a content to keep, so that many stores in one process can share it. */
    readonly retain?: (bytes: Uint8Array, contentHash: string) => Uint8Array;
}

/** Holds the newest accepted configuration and the newest rejected one. */
export class ConfigurationStore {
    private readonly events: EventLog;
    private readonly parse: RulesParser;
    private readonly retain: (bytes: Uint8Array, contentHash: string) => Uint8Array;
    private readonly rejectionListeners = new Set<() => void>();
    private readonly listeners = new Set<ConfigurationListener>();
    private readonly confirmationListeners = new Set<ConfirmationListener>();
    private confirmedMs: number | undefined;
    private accepted: AcceptedConfiguration | undefined;
    private newestRejected: RejectedConfiguration | undefined;

    /** @param options - event log and parser */
    public constructor(options: ConfigurationStoreOptions) {
        this.events = options.events;
        this.parse = options.parse ?? (bytes => parseRules(bytes));
        this.retain = options.retain ?? (bytes => bytes);
    }

    /** Configuration in force, if any. */
    public get current(): AcceptedConfiguration | undefined {
        return this.accepted;
    }

    /** Newest revision that was rejected, if any. */
    public get rejected(): RejectedConfiguration | undefined {
        return this.newestRejected;
    }

    /**
     * Time of the newest evidence that no revision above the known ones existed, on the process's monotonic clock
     * in milliseconds; undefined before the first evidence. The evidence is an answer of the platform or of
     * several peers to a question that was sent at this time or later.
     */
    public get confirmedAtMs(): number | undefined {
        return this.confirmedMs;
    }

    /**
     * Records evidence that the known revisions are the newest.
     *
     * @param atMs - when the question was sent, on the process's monotonic clock in milliseconds
     */
    public confirm(atMs: number): void {
        if (this.confirmedMs !== undefined && atMs <= this.confirmedMs) {
            return;
        }
        this.confirmedMs = atMs;
        for (const listener of [...this.confirmationListeners]) {
            listener(atMs);
        }
    }

    /**
     * Listens for confirmations that are newer than the last one.
     *
     * @param listener - what to call
     * @returns disposing it ends the calls
     */
    public onConfirmed(listener: ConfirmationListener): Disposable {
        this.confirmationListeners.add(listener);
        return { [Symbol.dispose]: () => void this.confirmationListeners.delete(listener) };
    }

    /**
     * Offers a revision. Parsing is a pure function of the bytes, so all instances decide alike.
     *
     * @param revision - its number
     * @param bytes - the file
     * @param source - where it came from, for the event
     * @returns what became of it
     */
    public offer(revision: Revision, bytes: Uint8Array, source: string): OfferOutcome {
        if (this.isOld(revision)) {
            return "old";
        }
        const hash = contentHash(bytes);
        const parsed = this.parse(bytes, hash);
        if (parsed.kind === "rejected") {
            this.recordRejected({ revision, findings: parsed.findings }, source);
            if (this.accepted && isFaultSeeded("control.adopt-rejected")) {
                this.adopt({ ...this.accepted, revision, contentHash: hash, bytes }, source);
            }
            return "rejected";
        }
        this.adopt(
            { revision, contentHash: hash, bytes: this.retain(bytes, hash), rules: parsed.rules },
            source,
        );
        return "accepted";
    }

    /**
     * Records that a revision was rejected, here or by a peer with the same parser.
     *
     * @param rejected - revision and findings
     * @param source - where word of it came from, for the event
     */
    public recordRejected(rejected: RejectedConfiguration, source: string): void {
        if (this.newestRejected && rejected.revision <= this.newestRejected.revision) {
            return;
        }
        this.newestRejected = rejected;
        const [first] = rejected.findings;
        this.events.emit(configurationRejected, {
            revision: rejected.revision,
            findingCount: rejected.findings.length,
            firstFinding: first ? formatFinding(first) : "",
            source,
        });
        for (const listener of [...this.rejectionListeners]) {
            listener();
        }
    }

    /**
     * Listens for rejected revisions.
     *
     * @param listener - what to call
     * @returns disposing it ends the calls
     */
    public onRejected(listener: () => void): Disposable {
        this.rejectionListeners.add(listener);
        return { [Symbol.dispose]: () => void this.rejectionListeners.delete(listener) };
    }

    /**
     * Listens for changes; called at once if a configuration is in force.
     *
     * @param listener - what to call
     * @returns disposing it ends the calls
     */
    public onChange(listener: ConfigurationListener): Disposable {
        this.listeners.add(listener);
        if (this.accepted) {
            listener(this.accepted);
        }
        return { [Symbol.dispose]: () => void this.listeners.delete(listener) };
    }

    private isOld(revision: Revision): boolean {
        return this.accepted !== undefined && revision <= this.accepted.revision
            && !isFaultSeeded("control.accept-lower-revision");
    }

    private adopt(configuration: AcceptedConfiguration, source: string): void {
        this.accepted = configuration;
        const { revision, contentHash } = configuration;
        this.events.emit(configurationAccepted, { revision, contentHash, source });
        for (const listener of [...this.listeners]) {
            listener(configuration);
        }
    }
}
