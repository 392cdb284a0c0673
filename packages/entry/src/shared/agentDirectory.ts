/**
 * All agents that the configuration names.
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
import { DataCentreTraffic } from "./dataCentreTraffic.ts";

/** Options of an {@link AgentDirectory}. */
export interface AgentDirectoryOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Name of the entry. */
    readonly entry: string;
    /** Data centre of the entry. */
    readonly dataCentre: DataCentreId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
}

const isInService = (rules: RuleSet, { name, dataCentre }: ServerRule): boolean =>
    !rules.drainingServers.has(name) && !rules.outDataCentres.has(dataCentre);

/** Keeps one peer for each backend server of the configuration. */
export class AgentDirectory implements Disposable {
    private readonly runtime: Runtime;
    private readonly entry: string;
    private readonly dataCentre: DataCentreId;
    private readonly traffic = new Map<DataCentreId, DataCentreTraffic>();
    private readonly peers = new Map<BackendServerId, AgentPeer>();
    private readonly subscription: Disposable;
    private rules: RuleSet | undefined;

    /** @param options - surroundings and configuration */
    public constructor(options: AgentDirectoryOptions) {
        this.runtime = options.runtime;
        this.entry = options.entry;
        this.dataCentre = options.dataCentre;
        this.subscription = options.configuration.onChange(configuration => this.update(configuration));
    }

    /**
     * Lists the agents of a service that may get new work.
     *
     * @param service - the service
     * @returns peers whose server is neither draining nor leaving nor in a data centre that is out
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
     * Finds the agent beside a backend server.
     *
     * @param server - the backend server
     * @returns the peer, or undefined
     */
    public find(server: BackendServerId): AgentPeer | undefined {
        return this.peers.get(server);
    }

    /** Agents that the configuration names. */
    public all(): AgentPeer[] {
        return [...this.peers.values()];
    }

    /** Treats everything that agents have reported as expired. */
    public expireViews(): void {
        this.peers.forEach(peer => peer.renew());
    }

    /** Ends all watches. */
    public [Symbol.dispose](): void {
        this.subscription[Symbol.dispose]();
        for (const peer of this.peers.values()) {
            peer[Symbol.dispose]();
        }
        this.peers.clear();
    }

    /** In the own data centre there is no link that a cut could silence as a whole. */
    private trafficTo(dataCentre: DataCentreId): DataCentreTraffic | undefined {
        if (dataCentre === this.dataCentre) {
            return undefined;
        }
        let traffic = this.traffic.get(dataCentre);
        if (!traffic) {
            traffic = new DataCentreTraffic(this.runtime.clock);
            this.traffic.set(dataCentre, traffic);
        }
        return traffic;
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
                peer.beginRamp();
            }
            peer.rule = rule;
        }
        for (const rule of rules.servers.values()) {
            if (!this.peers.has(rule.name)) {
                const traffic = this.trafficTo(rule.dataCentre);
                const peer = new AgentPeer({ runtime: this.runtime, entry: this.entry, rule, traffic });
                this.peers.set(rule.name, peer);
                void peer.watch();
            }
        }
    }
}
