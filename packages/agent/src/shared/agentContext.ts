/**
 * What the tasks of one agent share.
 *
 * @packageDocumentation
 */

import type { ConfigurationStore } from "@magnolialock/control";
import type { BackendServerId, IncarnationId, Runtime, ServiceName } from "@magnolialock/kernel";
import { RefusalReason, type RunRequest } from "@magnolialock/protocol";
import type { ServerRule } from "@magnolialock/rules";
import type { Backend } from "../types/backend.ts";
import { AdmissionQueue } from "./admissionQueue.ts";
import { RefusedError } from "./refusedError.ts";
import { RequestJournal } from "./requestJournal.ts";

/** Options of an {@link AgentContext}. */
export interface AgentContextOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Backend server that the agent stands beside. */
    readonly server: BackendServerId;
    /** This life of the agent. */
    readonly incarnation: IncarnationId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** The backend server. */
    readonly backend: Backend;
    /** Whether calls wait for a slot; only experiments that measure what admission brings switch it off. */
    readonly hasAdmissionControl?: boolean;
}

/** State of one agent. */
export class AgentContext {
    /** Surroundings of the process. */
    public readonly runtime: Runtime;
    /** Backend server that the agent stands beside. */
    public readonly server: BackendServerId;
    /** This life of the agent. */
    public readonly incarnation: IncarnationId;
    /** Configuration in force. */
    public readonly configuration: ConfigurationStore;
    /** The backend server. */
    public readonly backend: Backend;
    /** Calls that run and wait. */
    public readonly admission: AdmissionQueue;
    /** What became of requests that may not be repeated. */
    public readonly journal = new RequestJournal();
    /** Reason given when the backend server itself refused. */
    public readonly backendRefusedReason = RefusalReason.BACKEND_REFUSED;
    private isStopping = false;

    /** @param options - surroundings, identity and backend server */
    public constructor(options: AgentContextOptions) {
        this.runtime = options.runtime;
        this.server = options.server;
        this.incarnation = options.incarnation;
        this.configuration = options.configuration;
        this.backend = options.backend;
        this.admission = new AdmissionQueue({
            clock: options.runtime.clock,
            limit: () => options.hasAdmissionControl === false ? Infinity : this.rule?.warmLimit ?? 0,
            queueLimit: () => this.rule?.queueLimit ?? 0,
        });
    }

    /** Rule of the backend server, if the configuration knows it. */
    public get rule(): ServerRule | undefined {
        return this.configuration.current?.rules.servers.get(this.server);
    }

    /** Whether new work is refused. */
    public get isDraining(): boolean {
        const rules = this.configuration.current?.rules;
        const { rule } = this;
        return this.isStopping
            || (rules !== undefined && rule !== undefined
                && (rules.drainingServers.has(this.server) || rules.outDataCentres.has(rule.dataCentre)));
    }

    /** Refuses new work from now on, for good. */
    public beginStop(): void {
        this.isStopping = true;
        this.admission.refuseWaiting(
            new RefusedError("the agent is stopping", { props: { reason: RefusalReason.DRAINING } }),
        );
    }

    /**
     * Tells whether a service streams tokens.
     *
     * @param service - its name
     * @returns true for model services
     */
    public isModelService(service: string): boolean {
        return this.configuration.current?.rules.services.get(service as ServiceName)?.kind === "model";
    }

    /**
     * Checks that a request may be admitted at all.
     *
     * @param request - the request
     * @throws RefusedError that says why not
     */
    public checkAdmissible(request: RunRequest): void {
        if (this.rule === undefined || this.rule.service !== request.service) {
            throw new RefusedError("the agent has no configuration for this service", {
                props: { reason: RefusalReason.NOT_READY },
            });
        }
        if (this.isDraining) {
            throw new RefusedError("the backend server is draining", {
                props: { reason: RefusalReason.DRAINING },
            });
        }
    }
}
