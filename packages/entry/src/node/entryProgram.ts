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
    description: "Accepts requests of callers and routes them to backend servers.",
    version: VERSION,
    definitions: {
        ...processSettings,
        listen: requiredAddressSetting({ description: "Address on which to accept callers over HTTP/1.1" }),
        listenHttp2: addressSetting({
            description: "Address on which to accept callers over HTTP/2 without TLS (prior knowledge)",
        }),
        policy: textSetting({ description: "Routing policy", defaultValue: "adaptive" }),
        maxBodyBytes: integerSetting({
            description: "Largest request body accepted, in bytes",
            defaultValue: 1_048_576,
            min: 1,
            max: 67_108_864,
        }),
        memoryMb: integerSetting({
            description: "Memory of the machine for this process, in MB; it bounds what callers may hold",
            defaultValue: 512,
            min: 128,
            max: 1_048_576,
        }),
        fileDescriptors: integerSetting({
            description: "Descriptors that this process may open; they bound the connections of callers",
            defaultValue: 4_096,
            min: 128,
            max: 1_048_576,
        }),
        drainTimeoutMs: integerSetting({
            description: "Longest time to wait for requests in flight on shutdown, in milliseconds",
            defaultValue: 30_000,
            min: 0,
            max: 3_600_000,
        }),
    },
} as const;
