/**
 * The configuration that is in force in this process. It only moves to higher accepted revisions.
 *
 * @packageDocumentation
 */

import { contentHash, type EventLog, type Finding, formatFinding, type Revision } from "@magnolialock/kernel";
import { parseRules, type RuleSet } from "@magnolialock/rules";
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

/** Options of a {@link ConfigurationStore}. */
export interface ConfigurationStoreOptions {
    /** Event log of the process. */
    readonly events: EventLog;
}

/** Holds the newest accepted configuration and the newest rejected one. */
export class ConfigurationStore {
    private readonly events: EventLog;
    private readonly listeners = new Set<ConfigurationListener>();
    private accepted: AcceptedConfiguration | undefined;
    private newestRejected: RejectedConfiguration | undefined;

    /** @param options - event log */
    public constructor(options: ConfigurationStoreOptions) {
        this.events = options.events;
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
     * Offers a revision. Parsing is a pure function of the bytes, so all instances decide alike.
     *
     * @param revision - its number
     * @param bytes - the file
     * @param source - where it came from, for the event
     * @returns what became of it
     */
    public offer(revision: Revision, bytes: Uint8Array, source: string): OfferOutcome {
        if (this.accepted && revision <= this.accepted.revision) {
            return "old";
        }
        const parsed = parseRules(bytes);
        if (parsed.kind === "rejected") {
            this.reject({ revision, findings: parsed.findings }, source);
            return "rejected";
        }
        this.accepted = { revision, contentHash: contentHash(bytes), bytes, rules: parsed.rules };
        this.events.emit(configurationAccepted, { revision, contentHash: this.accepted.contentHash, source });
        for (const listener of [...this.listeners]) {
            listener(this.accepted);
        }
        return "accepted";
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

    private reject(rejected: RejectedConfiguration, source: string): void {
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
    }
}
