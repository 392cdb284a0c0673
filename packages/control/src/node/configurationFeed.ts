/**
 * Feeds the configuration of a real process from the platform or from a file, as its settings say.
 *
 * @packageDocumentation
 */

import { type Address, ResourceScope, type Runtime, SettingsError } from "@magnolialock/kernel";
import { ConfigurationStore } from "../shared/configurationStore.ts";
import { watchRules } from "../shared/watchRules.ts";
import { createConsulPlatform } from "./consulPlatform.ts";
import { watchRulesFile } from "./watchRulesFile.ts";

/** Options of {@link startConfigurationFeed}. */
export interface ConfigurationFeedOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Rule file, for sites without a platform. */
    readonly rules: string | undefined;
    /** Address of the platform's configuration service. */
    readonly platform: Address | undefined;
    /** Key that holds the rules. */
    readonly rulesKey: string;
    /** Name under which the instances are listed. */
    readonly instanceService: string;
}

/** A configuration that is kept up to date. */
export interface ConfigurationFeed extends AsyncDisposable {
    /** The configuration in force. */
    readonly store: ConfigurationStore;
}

/**
 * Starts the feed.
 *
 * @param options - where the rules come from
 * @returns the store and its owner
 * @throws SettingsError when neither or both sources are given
 */
export const startConfigurationFeed = (options: ConfigurationFeedOptions): ConfigurationFeed => {
    const { runtime, rules, platform } = options;
    if ((rules === undefined) === (platform === undefined)) {
        throw new SettingsError("give exactly one of --rules and --platform");
    }
    const scope = new ResourceScope();
    const store = new ConfigurationStore({ events: runtime.events });
    const stopping = new AbortController();
    if (rules !== undefined) {
        void watchRulesFile({ runtime, path: rules, store, signal: stopping.signal });
    }
    if (platform !== undefined) {
        const consul = scope.use(
            createConsulPlatform({
                address: platform,
                key: options.rulesKey,
                service: options.instanceService,
            }),
        );
        void watchRules({ runtime, platform: consul, store, signal: stopping.signal });
    }
    scope.defer(() => stopping.abort());
    return { store, [Symbol.asyncDispose]: () => scope[Symbol.asyncDispose]() };
};
