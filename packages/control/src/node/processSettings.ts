/**
 * Settings common to entries and agents.
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

/** Settings of every process of the fleet. */
export const processSettings = {
    instance: requiredTextSetting({ description: "Name of this instance; must be unique in the fleet" }),
    dataCentre: requiredTextSetting({ description: "Data centre of this instance" }),
    control: requiredAddressSetting({
        description: "Address for calls and datagrams from other processes of the fleet",
    }),
    rules: textSetting({ description: "Path of the rule file, for sites without a platform" }),
    platform: addressSetting({ description: "Address of the platform's configuration service" }),
    rulesKey: textSetting({
        description: "Key of the rule file in the platform's configuration service",
        defaultValue: "magnolialock/rules",
    }),
    instanceService: textSetting({
        description: "Service name of the instance list in the platform's configuration service",
        defaultValue: "magnolialock",
    }),
    sharedKey: textSetting({
        description:
            "Secret key shared by the fleet; use the environment variable, since flags are visible to others",
    }),
    peers: addressListSetting({
        description:
            "Control addresses of seed processes, to find the fleet without the platform's instance list",
    }),
    statsd: addressSetting({ description: "Address of a StatsD server for metrics" }),
} as const;
