/**
 * Builder that collects rules and findings while a file is parsed.
 *
 * @packageDocumentation
 */

import type {
    BackendServerId,
    ClientAccountId,
    DataCentreId,
    Finding,
    GroupName,
    ServiceName,
} from "@magnolialock/kernel";
import { didYouMean } from "@magnolialock/kernel";
import type { DefinableKind, SourcePosition } from "../types/definable.ts";
import type {
    AccountRule,
    CallRule,
    DataCentreRule,
    GroupRule,
    RuleSet,
    ServerRule,
    ServiceRule,
} from "../types/ruleSet.ts";

interface Reference extends SourcePosition {
    readonly kind: DefinableKind;
    readonly name: string;
}

/** Collects the rules, definitions, references and findings of one rule file. */
export class RuleSetBuilder {
    /** Data centres by name. */
    public readonly dataCentres = new Map<DataCentreId, DataCentreRule>();
    /** Services by name. */
    public readonly services = new Map<ServiceName, ServiceRule>();
    /** Backend servers by name. */
    public readonly servers = new Map<BackendServerId, ServerRule>();
    /** Client accounts by name. */
    public readonly accounts = new Map<ClientAccountId, AccountRule>();
    /** Calls in the order of the file. */
    public readonly calls: CallRule[] = [];
    /** Groups of ranks by name. */
    public readonly groups = new Map<GroupName, GroupRule>();
    /** Data centres that are out of service. */
    public readonly outDataCentres = new Set<DataCentreId>();
    /** Backend servers that are draining. */
    public readonly drainingServers = new Set<BackendServerId>();
    /** How often the platform was restored from an older copy, as the file states. */
    public platformEra = 0;
    /** Findings, in the order in which they were reported. */
    public readonly findings: Finding[] = [];
    private readonly definitions = new Map<string, SourcePosition>();
    private readonly usedValues = new Map<string, SourcePosition>();
    private readonly references: Reference[] = [];

    /** @param source - name of the file, for findings */
    public constructor(private readonly source: string) {}

    /**
     * Reports a finding.
     *
     * @param position - position of the error
     * @param message - what is wrong and what to write instead
     */
    public report(position: SourcePosition, message: string): void {
        this.findings.push({ source: this.source, line: position.line, column: position.column, message });
    }

    /**
     * Records that a rule defines a name; reports a finding if the name is already defined.
     *
     * @param kind - kind of thing that is defined
     * @param name - its name
     * @param position - position of the name
     */
    public addDefinition(kind: DefinableKind, name: string, position: SourcePosition): void {
        const key = `${kind} ${name}`;
        const earlier = this.definitions.get(key);
        if (earlier) {
            this.report(
                position,
                `${kind} "${name}" is already defined in line ${earlier.line}: remove one of them`,
            );
            return;
        }
        this.definitions.set(key, position);
    }

    /**
     * Reports a finding if a value occurs more than once in the file.
     *
     * @param label - description of the value, for the message
     * @param value - the value
     * @param position - position of the rule
     */
    public requireUnique(label: string, value: string, position: SourcePosition): void {
        const key = `${label}\u0000${value}`;
        const earlier = this.usedValues.get(key);
        if (earlier) {
            this.report(
                position,
                `${label} ${value} is already used in line ${earlier.line}: use another or remove one`,
            );
            return;
        }
        this.usedValues.set(key, position);
    }

    /**
     * Records that a rule refers to a name. References are checked at the end of the file, so that a name may
     * be used before its definition.
     *
     * @param kind - kind of thing that is referred to
     * @param name - its name
     * @param position - position of the reference
     */
    public addReference(kind: DefinableKind, name: string, position: SourcePosition): void {
        this.references.push({ kind, name, ...position });
    }

    /** Reports a finding for each reference to a name that no rule defines. */
    public checkReferences(): void {
        for (const { kind, name, line, column } of this.references) {
            if (!this.definitions.has(`${kind} ${name}`)) {
                const hint = didYouMean(name, this.definedNames(kind));
                this.report(
                    { line, column },
                    `no ${kind} is named "${name}"${hint}: add a line "${kind} ${name} …" or correct the name`,
                );
            }
        }
    }

    private definedNames(kind: DefinableKind): string[] {
        const prefix = `${kind} `;
        return [...this.definitions.keys()]
            .filter(key => key.startsWith(prefix))
            .slice(0, MAX_SUGGESTION_CANDIDATES)
            .map(key => key.slice(prefix.length));
    }

    /**
     * Builds the rule set.
     *
     * @returns the rules, as a frozen object
     */
    public build(): RuleSet {
        return Object.freeze({
            dataCentres: this.dataCentres,
            services: this.services,
            servers: this.servers,
            accounts: this.accounts,
            calls: this.calls,
            groups: this.groups,
            outDataCentres: this.outDataCentres,
            drainingServers: this.drainingServers,
        });
    }
}

const MAX_SUGGESTION_CANDIDATES = 200;
