/**
 * Settings of `magnolialock-entry`.
 *
 * @packageDocumentation
 */

import { processSettings } from "@magnolialock/control";
import {
    addressSetting,
    integerSetting,
    requiredAddressSetting,
    textSetting,
    VERSION,
} from "@magnolialock/kernel";

/** Name, description and settings of the program. */
export const entryProgram = {
    programName: "magnolialock-entry",
    description: "Takes callers' requests and finds backend servers for them.",
    version: VERSION,
    definitions: {
        ...processSettings,
        listen: requiredAddressSetting({ description: "Address for callers, HTTP/1.1" }),
        listenHttp2: addressSetting({ description: "Address for callers, HTTP/2 with prior knowledge" }),
        policy: textSetting({ description: "Routing policy", defaultValue: "adaptive" }),
        maxBodyBytes: integerSetting({
            description: "Largest body of a request, in bytes",
            defaultValue: 1_048_576,
            min: 1,
            max: 67_108_864,
        }),
        drainTimeoutMs: integerSetting({
            description: "Longest time that a stop waits for running requests, in milliseconds",
            defaultValue: 30_000,
            min: 0,
            max: 3_600_000,
        }),
    },
} as const;
