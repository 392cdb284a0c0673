/**
 * Directory of the agents in the configuration.
 *
 * @packageDocumentation
 */

import type { AcceptedConfiguration, ConfigurationStore } from "@magnolialock/control";
import {
    type BackendServerId,
    type DataCentreId,
    isFaultSeeded,
    type Runtime,
    type ServiceName,
} from "@magnolialock/kernel";
import type { RuleSet, ServerRule } from "@magnolialock/rules";
import { AgentPeer } from "./agentPeer.ts";
import { DataCentreHealth } from "./dataCentreHealth.ts";

/** Options of an {@link AgentDirectory}. */
export interface AgentDirectoryOptions {
    /** Runtime of the process. */
    readonly runtime: Runtime;
    /** Instance name of the entry. */
    readonly entry: string;
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
}

const isInService = (rules: RuleSet, { name, dataCentre }: ServerRule): boolean =>
    !rules.drainingServers.has(name) && !rules.outDataCentres.has(dataCentre);

/** Maintains one {@link AgentPeer} per backend server in the configuration. */
export class AgentDirectory implements Disposable {
    private readonly runtime: Runtime;
    private readonly entry: string;
    private readonly dataCentre: DataCentreId;
    private readonly dataCentreHealths = new Map<DataCentreId, DataCentreHealth>();
    private readonly peers = new Map<BackendServerId, AgentPeer>();
    private readonly subscription: Disposable;
    private rules: RuleSet | undefined;

    /** @param options - runtime, identity and configuration */
    public constructor(options: AgentDirectoryOptions) {
        this.runtime = options.runtime;
        this.entry = options.entry;
        this.dataCentre = options.dataCentre;
        this.subscription = options.configuration.onChange(configuration => this.update(configuration));
    }

    /**
     * Lists the agents of a service that may be sent new requests.
     *
     * @param service - the service
     * @returns peers whose backend server is neither draining nor leaving nor in a data centre that is out
     */
    public candidates(service: ServiceName): AgentPeer[] {
        const { rules } = this;
        if (!rules) {
            return [];
        }
        return [...this.peers.values()].filter(peer =>
            peer.rule.service === service
            && (isFaultSeeded("entry.ignore-out") || isInService(rules, peer.rule) && !peer.state?.isDraining)
        );
    }

    /**
     * Finds the agent of a backend server.
     *
     * @param server - the backend server
     * @returns the peer; undefined when the server is not in the configuration
     */
    public find(server: BackendServerId): AgentPeer | undefined {
        return this.peers.get(server);
    }

    /** Lists all agents in the configuration. */
    public all(): AgentPeer[] {
        return [...this.peers.values()];
    }

    /** Discards the reported states of all agents and requests them again. */
    public invalidateStates(): void {
        this.peers.forEach(peer => peer.invalidateState());
    }

    /** Stops watching all agents. */
    public [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
        for (const peer of this.peers.values()) {
            peer[Symbol.dispose]();
        }
        this.peers.clear();
    }

    /** The local data centre is not tracked: no link exists whose failure cuts off all of it at once. */
    private dataCentreHealthOf(dataCentre: DataCentreId): DataCentreHealth | undefined {
        if (dataCentre === this.dataCentre) {
            return undefined;
        }
        let health = this.dataCentreHealths.get(dataCentre);
        if (!health) {
            health = new DataCentreHealth(this.runtime.clock);
            this.dataCentreHealths.set(dataCentre, health);
        }
        return health;
    }

    private update({ rules }: AcceptedConfiguration): void {
        const previous = this.rules;
        this.rules = rules;
        for (const [name, peer] of this.peers) {
            const rule = rules.servers.get(name);
            if (!rule || rule.agent !== peer.rule.agent) {
                peer[Symbol.dispose]();
                this.peers.delete(name);
                continue;
            }
            if (previous && !isInService(previous, peer.rule) && isInService(rules, rule)) {
                peer.beginSlowStart();
            }
            peer.rule = rule;
        }
        for (const rule of rules.servers.values()) {
            if (!this.peers.has(rule.name)) {
                const dataCentreHealth = this.dataCentreHealthOf(rule.dataCentre);
                const peer = new AgentPeer({
                    runtime: this.runtime,
                    entry: this.entry,
                    rule,
                    dataCentreHealth,
                });
                this.peers.set(rule.name, peer);
                void peer.watch();
            }
        }
    }
}
