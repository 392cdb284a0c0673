/**
 * Settings of `magnolialock-agent`.
 *
 * @packageDocumentation
 */

import { processSettings } from "@magnolialock/control";
import { integerSetting, requiredAddressSetting, requiredTextSetting, VERSION } from "@magnolialock/kernel";

/** Name, description and settings of the program. */
export const agentProgram = {
    programName: "magnolialock-agent",
    description: "Sidecar of one backend server; all calls to the server pass through it.",
    version: VERSION,
    definitions: {
        ...processSettings,
        server: requiredTextSetting({ description: "Name of the backend server in the rules" }),
        backend: requiredAddressSetting({ description: "Address of the backend server" }),
        drainTimeoutMs: integerSetting({
            description: "Longest time that a stop waits for running calls, in milliseconds",
            defaultValue: 30_000,
            min: 0,
            max: 3_600_000,
        }),
    },
} as const;
