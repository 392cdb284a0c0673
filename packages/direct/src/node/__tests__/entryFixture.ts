/** A direct entry over real sockets, in front of one server that the test writes. */

import {
    type Address,
    branded,
    createRandomSource,
    createSystemClock,
    EventLog,
    type Revision,
} from "@magnolialock/kernel";
import { freeAddress } from "@magnolialock/test-support";
import {
    configuration,
    NAMES,
    ORDERS,
    route,
    serverEntry,
    serviceSpec,
    SETTINGS,
} from "../../shared/__tests__/directFixture.ts";
import type { DirectSettings } from "../../types/directSettings.ts";
import type { ItemContent, PublishedSource } from "../../types/publishedState.ts";
import { startDirectEntry } from "../directEntry.ts";

const clock = createSystemClock();

/** Head of a response that the entry accepts. */
export const responseHead = (requestId: string, fields: string): string =>
    `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${requestId}\r\n${NAMES.signature}: signed\r\n${fields}\r\n`;

/** Published state that never changes. */
const fixedSource = (contents: Readonly<Record<string, ItemContent>>): PublishedSource => ({
    decode: key => contents[key] ?? { kind: "ignored" },
    readAll: async () => ({
        era: undefined,
        revision: branded<Revision>(1),
        items: Object.keys(contents).map(key => ({ key, text: key, revision: branded<Revision>(1) })),
    }),
    reconnect: () => {},
    watch: async (revision, waitMs, signal) => {
        await new Promise((resolve, reject) => {
            clock.setTimer(waitMs, () => resolve(undefined));
            signal.addEventListener("abort", () => reject(signal.reason as Error));
        });
        return { kind: "changes", era: undefined, revision, changes: [] };
    },
});

/** Settings of an entry on free addresses. */
export const freeSettings = async (): Promise<DirectSettings> => ({
    ...SETTINGS,
    callers: await freeAddress(),
    readiness: await freeAddress(),
    peers: await freeAddress(),
});

/**
 * Starts an entry with the given settings whose services have the given servers.
 *
 * @param settings - settings of the entry
 * @param servers - addresses of the servers
 */
export const startEntryWith = async (settings: DirectSettings, ...servers: readonly Address[]) => {
    const routes = [
        route("whole", { timeoutMs: 1_500 }),
        route("once", { timeoutMs: 1_500, repeat: "never", maxAttempts: 1 }),
        route("once-tried", { timeoutMs: 1_500, repeat: "never", maxAttempts: 2 }),
        route("stream", { timeoutMs: 1_500, answer: "stream", repeat: "resume", targetGapMs: 120 }),
        route("once-stream", { timeoutMs: 1_500, answer: "stream", repeat: "never", maxAttempts: 1 }),
        route("good", { timeoutMs: 1_500 }),
    ];
    const entry = await startDirectEntry({
        runtime: {
            clock,
            events: new EventLog({ clock, instance: "entry-1" }),
            random: createRandomSource(1),
        },
        settings,
        headers: NAMES,
        source: fixedSource({
            config: {
                kind: "configuration",
                configuration: configuration({ routes, services: [serviceSpec(ORDERS)] }),
            },
            ...Object.fromEntries(servers.map((address, index) => {
                const id = `server-${index}`;
                const server = { ...serverEntry(id, ORDERS), address, slots: 100 };
                return [id, { kind: "server", server } as const];
            })),
        }),
        readinessPath: "/ready",
    });
    while (!entry.isReady) {
        await new Promise(resolve => clock.setTimer(10, () => resolve(undefined)));
    }
    return { entry, callers: settings.callers, settings };
};

/**
 * Starts an entry whose services have the given servers.
 *
 * @param servers - addresses of the servers
 */
export const startEntry = async (...servers: readonly Address[]) =>
    startEntryWith(await freeSettings(), ...servers);
