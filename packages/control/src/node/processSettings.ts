/**
 * Settings that entries and agents share.
 *
 * @packageDocumentation
 */

import {
    addressListSetting,
    addressSetting,
    requiredAddressSetting,
    requiredTextSetting,
    textSetting,
} from "@magnolialock/kernel";

/** Settings of every process of the system. */
export const processSettings = {
    instance: requiredTextSetting({ description: "Name of this instance, unique in the fleet" }),
    dataCentre: requiredTextSetting({ description: "Data centre of this instance" }),
    control: requiredAddressSetting({ description: "Address for calls from other processes of the system" }),
    rules: textSetting({ description: "Rule file, for sites without a platform" }),
    platform: addressSetting({ description: "Address of the platform's configuration service" }),
    rulesKey: textSetting({
        description: "Key of the rules in that service",
        defaultValue: "magnolialock/rules",
    }),
    instanceService: textSetting({
        description: "Name of the instance list in that service",
        defaultValue: "magnolialock",
    }),
    sharedKey: textSetting({
        description:
            "Key that all processes of the fleet share; give it by its variable, for flags can be seen by others",
    }),
    peers: addressListSetting({
        description: "Control addresses of some processes, to find the fleet without the platform's list",
    }),
    statsd: addressSetting({ description: "Address of a StatsD server for metrics" }),
} as const;
