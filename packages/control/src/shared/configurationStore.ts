/**
 * Store of the configuration in force in this process. It only moves to higher accepted revisions.
 *
 * @packageDocumentation
 */

import {
    contentHash,
    type EventLog,
    type Finding,
    formatFinding,
    formatRevision,
    isFaultSeeded,
    type Revision,
    toRulesRevision,
} from "@magnolialock/kernel";
import { type ParsedRules, parseRules, type RuleSet } from "@magnolialock/rules";
import { configurationAccepted, configurationRejected, platformRewound } from "./controlEvents.ts";

/** A configuration without findings. Parsing is deterministic, so every instance accepts it. */
export interface AcceptedConfiguration {
    /** Revision number assigned by the platform. */
    readonly revision: Revision;
    /** Hash of the rule file. */
    readonly contentHash: string;
    /** Content of the rule file. */
    readonly bytes: Uint8Array;
    /** Rules parsed from the content. */
    readonly rules: RuleSet;
}

/** A revision that cannot come into force because of its findings. */
export interface RejectedConfiguration {
    /** Revision number assigned by the platform. */
    readonly revision: Revision;
    /** Errors found in the rule file. */
    readonly findings: readonly Finding[];
}

/** Result of an offered revision; an old one is not above the revision in force. */
export type OfferOutcome = "accepted" | "rejected" | "old";

/** Called after each change of the configuration in force. */
export type ConfigurationListener = (configuration: AcceptedConfiguration) => void;

/** Called after each newer confirmation, with its time on the process's monotonic clock in milliseconds. */
export type ConfirmationListener = (confirmedAtMs: number) => void;

/** Parser of rule files. A pure function of the bytes, so that its results can be shared. */
export type RulesParser = (bytes: Uint8Array, contentHash: string) => ParsedRules;

/** Options of a {@link ConfigurationStore}. */
export interface ConfigurationStoreOptions {
    /** Event log of the process. */
    readonly events: EventLog;
    /** Parser of rule files. */
    readonly parse?: RulesParser;
    /** Returns the copy of a content to keep, so that several stores in one process can share one copy. */
    readonly retain?: (bytes: Uint8Array, contentHash: string) => Uint8Array;
}

/** Holds the newest accepted configuration and the newest rejected revision. */
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

    /** @param options - event log, parser and content sharing */
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
     * Time of the newest evidence that no revision above the known ones existed, on the process's monotonic
     * clock in milliseconds; undefined before the first evidence. The evidence is a response of the platform
     * or of several peers to a request that was sent at this time or later.
     */
    public get confirmedAtMs(): number | undefined {
        return this.confirmedMs;
    }

    /**
     * Records evidence that the known revisions are the newest.
     *
     * @param atMs - send time of the request, on the process's monotonic clock in milliseconds
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
     * Registers a listener for confirmations that are newer than the last one.
     *
     * @param listener - function to call
     * @returns subscription; disposing it unregisters the listener
     */
    public onConfirmed(listener: ConfirmationListener): Disposable {
        this.confirmationListeners.add(listener);
        return { [Symbol.dispose]: () => void this.confirmationListeners.delete(listener) };
    }

    /**
     * Offers a revision, which comes into force if it is higher than the current one and has no findings.
     * Parsing is a pure function of the bytes, so that all instances decide alike.
     *
     * @param revision - revision number
     * @param bytes - content of the rule file
     * @param source - origin of the revision, for the event
     * @returns whether the revision was accepted, rejected or old
     */
    public offer(revision: Revision, bytes: Uint8Array, source: string): OfferOutcome {
        if (this.isOld(revision)) {
            return "old";
        }
        const hash = contentHash(bytes);
        return this.offerParsed(revision, bytes, hash, this.parse(bytes, hash), source);
    }

    /**
     * Offers what the platform publishes. Its number is ordered below the era in the file; a file without a higher
     * era and with a lower number is an older copy and does not come into force.
     *
     * @param platformRevision - the platform's number
     * @param bytes - content of the rule file
     * @returns whether the revision was accepted, rejected or old, and the revision
     */
    public offerPublished(
        platformRevision: Revision,
        bytes: Uint8Array,
    ): { readonly outcome: OfferOutcome; readonly revision: Revision; } {
        const hash = contentHash(bytes);
        const parsed = this.parse(bytes, hash);
        const revision = toRulesRevision(parsed.platformEra, platformRevision);
        const { accepted } = this;
        if (accepted && revision < accepted.revision && hash !== accepted.contentHash) {
            this.events.emit(platformRewound, {
                revision: formatRevision(revision),
                revisionInForce: formatRevision(accepted.revision),
            });
        }
        const outcome = this.isOld(revision)
            ? "old"
            : this.offerParsed(revision, bytes, hash, parsed, "platform");
        return { outcome, revision };
    }

    private offerParsed(
        revision: Revision,
        bytes: Uint8Array,
        hash: string,
        parsed: ParsedRules,
        source: string,
    ): OfferOutcome {
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
     * @param source - origin of the information, for the event
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
     * Registers a listener for rejected revisions.
     *
     * @param listener - function to call
     * @returns subscription; disposing it unregisters the listener
     */
    public onRejected(listener: () => void): Disposable {
        this.rejectionListeners.add(listener);
        return { [Symbol.dispose]: () => void this.rejectionListeners.delete(listener) };
    }

    /**
     * Registers a listener for changes; calls it immediately if a configuration is in force.
     *
     * @param listener - function to call
     * @returns subscription; disposing it unregisters the listener
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
