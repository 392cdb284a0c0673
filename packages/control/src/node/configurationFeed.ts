/**
 * Configuration feed of a process: from the platform and peers, or from a local file, as its settings
 * specify.
 *
 * @packageDocumentation
 */

import type { ServiceImpl } from "@connectrpc/connect";
import {
    type Address,
    bindService,
    branded,
    type DataCentreId,
    type InstanceId,
    ResourceScope,
    type Runtime,
    type ServiceBinding,
    SettingsError,
} from "@magnolialock/kernel";
import { OperatorService } from "@magnolialock/protocol";
import { ConfigurationStore } from "../shared/configurationStore.ts";
import { planeDisabled } from "../shared/controlEvents.ts";
import type { Membership } from "../shared/membership/membership.ts";
import { type ControlPlane, startControlPlane } from "../shared/plane/controlPlane.ts";
import { type AgentStatus, createStatusReader } from "../shared/statusService.ts";
import { readTimeline } from "../shared/timelineService.ts";
import { watchRulesStandalone } from "../shared/watchRulesStandalone.ts";
import type { MemberIdentity, MemberRole } from "../types/member.ts";
import type { Platform } from "../types/platform.ts";
import { createConsulPlatform } from "./consulPlatform.ts";
import { watchRulesFile } from "./watchRulesFile.ts";

/** Options of {@link startConfigurationFeed}. */
export interface ConfigurationFeedOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Role of the process. */
    readonly role: MemberRole;
    /** Name of the process. */
    readonly instance: string;
    /** Data centre of the process. */
    readonly dataCentre: string;
    /** Address for calls and datagrams from other processes of the fleet. */
    readonly control: Address;
    /** Path of the rule file, for sites without a platform. */
    readonly rules: string | undefined;
    /** Address of the platform's configuration service. */
    readonly platform: Address | undefined;
    /** Key of the rule file in that service. */
    readonly rulesKey: string;
    /** Service name under which that service lists the instances. */
    readonly instanceService: string;
    /** Secret key shared by all processes of the fleet; without it the process is standalone. */
    readonly sharedKey: string | undefined;
    /** Control addresses of seed processes, to find the fleet without the platform's list. */
    readonly peers: readonly Address[];
    /** Returns the additional status of an agent. */
    readonly agent?: () => AgentStatus | undefined;
    /** Further operator calls that the process serves. */
    readonly operatorCalls?: Partial<ServiceImpl<typeof OperatorService>>;
}

/** A configuration that is kept up to date. */
export interface ConfigurationFeed extends AsyncDisposable {
    /** The configuration in force. */
    readonly store: ConfigurationStore;
    /** Membership of the fleet; undefined for a standalone process. */
    readonly membership: Membership | undefined;
    /** RPC services to serve on the control address. */
    readonly services: readonly ServiceBinding[];
    /** Announces to other processes that this one is leaving. */
    leave(): Promise<void>;
}

const checkSettings = (options: ConfigurationFeedOptions): void => {
    const { rules, platform, peers, sharedKey } = options;
    if ((rules === undefined) === (platform === undefined)) {
        throw new SettingsError("exactly one of --rules and --platform is required");
    }
    if (peers.length > 0 && sharedKey === undefined) {
        throw new SettingsError(
            "--peers requires --shared-key, with the same key in every process of the fleet",
        );
    }
};

/** Starts the sources of revisions. With a rule file, or without a shared key, the process is standalone. */
const startRevisionSources = (
    options: ConfigurationFeedOptions,
    self: MemberIdentity,
    store: ConfigurationStore,
    scope: ResourceScope,
): ControlPlane | undefined => {
    const { runtime, rules, sharedKey, peers } = options;
    const stopController = new AbortController();
    const { signal } = stopController;
    scope.defer(() => stopController.abort());
    if (rules !== undefined) {
        void watchRulesFile({ runtime, path: rules, store, signal });
        return undefined;
    }
    const platform: Platform = scope.use(
        createConsulPlatform({
            address: options.platform as Address,
            key: options.rulesKey,
            service: options.instanceService,
        }),
    );
    if (sharedKey === undefined) {
        runtime.events.emit(planeDisabled);
        void watchRulesStandalone({ runtime, platform, store, signal });
        return undefined;
    }
    return scope.use(startControlPlane({ runtime, self, sharedKey, platform, store, seeds: peers }));
};

/**
 * Starts the feed.
 *
 * @param options - identity and source of the rules
 * @returns the running feed; disposing it stops all tasks
 * @throws SettingsError if not exactly one source is given, or peers are given without a shared key
 */
export const startConfigurationFeed = (options: ConfigurationFeedOptions): ConfigurationFeed => {
    checkSettings(options);
    const { runtime, role, control, agent, operatorCalls } = options;
    const scope = new ResourceScope();
    const store = new ConfigurationStore({ events: runtime.events });
    const self: MemberIdentity = {
        role,
        name: branded<InstanceId>(options.instance),
        dataCentre: branded<DataCentreId>(options.dataCentre),
        address: control,
    };
    const plane = startRevisionSources(options, self, store, scope);
    const membership = plane?.membership;
    const getStatus = createStatusReader({ clock: runtime.clock, self, store, membership, agent });
    const operator = bindService(OperatorService, {
        ...operatorCalls,
        getStatus,
        readTimeline: (request, context) => readTimeline(runtime.events, request, context.signal),
    });
    return {
        store,
        membership,
        services: [...(plane?.services ?? []), operator],
        leave: async () => plane?.leave(),
        [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose](),
    };
};
