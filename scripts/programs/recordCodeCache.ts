/**
 * Runs a program once against stand-ins of the platform and takes the code cache from it, which then contains the
 * functions that a start needs.
 */

import { type Address, branded, createSystemClock, ResourceScope, sleep } from "@magnolialock/kernel";
import { BackendStandIn, StoreStandIn } from "@magnolialock/lab";
import { findFreePort } from "@magnolialock/test-support";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { writeFile } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import type { Readable } from "node:stream";
import { request } from "undici";

/** Program whose code cache is recorded. */
export interface RecordedProgram {
    /** Role on the platform. */
    readonly role: "entry" | "rank";
    /** Flags of Node.js as in `deploy/system.toml`: V8 rejects a cache that was recorded with other flags. */
    readonly flags: readonly string[];
}

/** A running stand-in of the platform. */
interface Platform {
    readonly settings: Readonly<Record<string, unknown>>;
    readonly untilReady: (signal: AbortSignal) => Promise<void>;
}

const LOOPBACK = branded<Address>("127.0.0.1:0");
/** Longest run of a program, in milliseconds; the build then goes on without a cache. */
const RECORD_TIMEOUT_MS = 20_000;
/** Time that the program runs on after it is ready, in milliseconds: its first reports and reads belong to a start. */
const SETTLE_MS = 1_500;
const POLL_MS = 20;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;
/** File descriptor on which the loader writes the cache. */
const CACHE_FD = 3;

const clock = createSystemClock();

const commonSettings = (peerPort: number, store: Address) => ({
    node_name: "recorded",
    ip_address: "127.0.0.1",
    zone: "a",
    internal_port_range: [peerPort, peerPort + 1],
    platform: { address: store },
});

const startEntryPlatform = async (scope: ResourceScope): Promise<Platform> => {
    const store = scope.use(new StoreStandIn(clock));
    await store.listen(LOOPBACK);
    const server = scope.use(new BackendStandIn({ clock, id: "i-1" }));
    await server.listen(LOOPBACK);
    store.put("op/config", {
        version: 1,
        routes: [{
            name: "once",
            hostname: "shop.example",
            prefix: "/once/",
            kind: "unsafe",
            timeout_ms: 1_500,
            service: "orders",
        }, {
            name: "stream",
            hostname: "shop.example",
            prefix: "/stream/",
            kind: "streaming",
            timeout_ms: 5_000,
            service: "orders",
        }],
        services: [{ name: "orders", connection_limit: 100 }],
        tenants: [{ name: "shop", api_keys: ["key-1"] }],
    });
    store.put("servers/i-1", {
        service: "orders",
        address: server.address,
        zone: "a",
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining_ms: 0,
        sequence: 1,
    });
    const [frontend, readiness, peers] = [await findFreePort(), await findFreePort(), await findFreePort()];
    const ask = (name: string): Promise<number> =>
        request(`http://127.0.0.1:${frontend}/${name}/1`, {
            method: "POST",
            body: "{}",
            headers: {
                host: "shop.example",
                "x-request-id": clock.nowMs().toString(),
                "x-request-deadline": "4000",
                "x-credential": "key-1",
            },
        }).then(async answer => {
            await answer.body.dump();
            return answer.statusCode;
        }, () => 0);
    return {
        settings: {
            ...commonSettings(peers, store.address),
            listen_addresses: {
                frontend_address: `127.0.0.1:${frontend}`,
                readiness: `127.0.0.1:${readiness}`,
            },
            bounds: {
                retry_budget_ratio: 0.2,
                retry_budget_slack: 90,
                budget_window_s: 10,
                grace_period_s: 8,
            },
        },
        untilReady: async signal => {
            for (const name of ["once", "stream"]) {
                while (await ask(name) !== HTTP_OK) {
                    await sleep(clock, POLL_MS, signal);
                }
            }
        },
    };
};

const startRankPlatform = async (scope: ResourceScope): Promise<Platform> => {
    const entry = createServer((_, response) => response.writeHead(HTTP_UNAVAILABLE).end());
    await once(entry.listen(0, "127.0.0.1"), "listening");
    scope.defer(() => void entry.close());
    const { port } = entry.address() as AddressInfo;
    return {
        settings: {
            // Entries and agents listen on the same port of different machines.
            ...commonSettings(port, branded<Address>(`127.0.0.1:${port}`)),
            ip_address: "127.0.0.2",
            seed_nodes: [`127.0.0.1:${port}`],
            app: "127.0.0.1:1",
            service: "drafts",
        },
        untilReady: async signal => {
            await once(entry, "request", { signal });
        },
    };
};

/**
 * Records the code cache of a program.
 *
 * @param recorder - loader that runs the program and writes its code cache on SIGUSR2
 * @param folder - folder for the settings file
 * @param program - role and flags of the program
 * @returns the content of the cache file
 * @throws if the program does not start
 */
export const recordCodeCache = async (
    recorder: string,
    folder: string,
    { flags, role }: RecordedProgram,
): Promise<Buffer> => {
    await using scope = new ResourceScope();
    const { settings, untilReady } = await (role === "entry" ? startEntryPlatform : startRankPlatform)(scope);
    const settingsPath = join(folder, "boot.json");
    await writeFile(settingsPath, JSON.stringify(settings));
    const signal = AbortSignal.timeout(RECORD_TIMEOUT_MS);
    const child = spawn(process.execPath, [...flags, recorder], {
        env: { ...process.env, NODE_OPTIONS: "", MAGNOLIALOCK_SETTINGS: settingsPath },
        stdio: ["ignore", "ignore", "inherit", "pipe"],
        killSignal: "SIGKILL",
        signal,
    });
    child.on("error", () => {});
    await untilReady(signal);
    await sleep(clock, SETTLE_MS);
    child.kill("SIGUSR2");
    const chunks: Buffer[] = [];
    for await (const chunk of child.stdio[CACHE_FD] as Readable) {
        chunks.push(chunk as Buffer);
    }
    if (chunks.length === 0) {
        throw new Error("the program ended without writing a code cache");
    }
    return Buffer.concat(chunks);
};
