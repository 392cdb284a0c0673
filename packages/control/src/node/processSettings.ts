/**
 * Settings that entries and agents share.
 *
 * @packageDocumentation
 */

import {
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
    statsd: addressSetting({ description: "Address of a StatsD server for metrics" }),
} as const;
