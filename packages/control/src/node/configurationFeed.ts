/**
 * Feeds the configuration of a real process from platform and peers or from a file, as its settings say.
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
import { watchRules } from "../shared/watchRules.ts";
import type { MemberIdentity, MemberRole } from "../types/member.ts";
import type { Platform } from "../types/platform.ts";
import { createConsulPlatform } from "./consulPlatform.ts";
import { watchRulesFile } from "./watchRulesFile.ts";

/** Options of {@link startConfigurationFeed}. */
export interface ConfigurationFeedOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** What the process runs. */
    readonly role: MemberRole;
    /** Name of the process. */
    readonly instance: string;
    /** Data centre of the process. */
    readonly dataCentre: string;
    /** Address for calls and datagrams from other processes. */
    readonly control: Address;
    /** Rule file, for sites without a platform. */
    readonly rules: string | undefined;
    /** Address of the platform's configuration service. */
    readonly platform: Address | undefined;
    /** Key of the rules in that service. */
    readonly rulesKey: string;
    /** Name under which the instances are listed. */
    readonly instanceService: string;
    /** Key that all processes of the fleet share. */
    readonly sharedKey: string | undefined;
    /** Addresses of some processes. */
    readonly peers: readonly Address[];
    /** What an agent adds to its status. */
    readonly agent?: () => AgentStatus | undefined;
    /** Other calls of operators' tools that the process answers. */
    readonly operatorCalls?: Partial<ServiceImpl<typeof OperatorService>>;
}

/** A configuration that is kept up to date. */
export interface ConfigurationFeed extends AsyncDisposable {
    /** The configuration in force. */
    readonly store: ConfigurationStore;
    /** Who is in the fleet; absent for a process that stands alone. */
    readonly membership: Membership | undefined;
    /** Calls to serve on the control address. */
    readonly services: readonly ServiceBinding[];
    /** Tells the other processes that this one leaves. */
    leave(): Promise<void>;
}

const checkSettings = (options: ConfigurationFeedOptions): void => {
    const { rules, platform, peers, sharedKey } = options;
    if ((rules === undefined) === (platform === undefined)) {
        throw new SettingsError("give exactly one of --rules and --platform");
    }
    if (peers.length > 0 && sharedKey === undefined) {
        throw new SettingsError("--peers needs --shared-key, the same in every process of the fleet");
    }
};

/** Starts what brings revisions; a file or a missing key means that the process stands alone. */
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
        void watchRules({ runtime, platform, store, signal });
        return undefined;
    }
    return scope.use(startControlPlane({ runtime, self, sharedKey, platform, store, seeds: peers }));
};

/**
 * Starts the feed.
 *
 * @param options - identity, and where the rules come from
 * @returns the store, the calls to serve, and their owner
 * @throws SettingsError when neither or both sources are given
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
