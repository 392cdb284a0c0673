/**
 * Stand-in of the platform: its store, the settings of a process, and the start of the project's own programs with the
 * commands of the deploy file.
 */

import { spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { createServer as createHttpServer, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const REPOSITORY = join(import.meta.dirname, "..", "..");

/** Bounds of a small site, as `fleetbench wire` shows them for `kit/more/system/sites/cubewright-edge.toml`. */
export const BOUNDS = {
    seed_lag_s: 3,
    address_reuse_s: 2,
    stable_window_ms: 3000,
    confirmation_ms: 4000,
    catch_up_s: 4,
    drain_ms: 2000,
    grace_period_s: 8,
    loss_slack_ms: 200,
    configuration_apply_ms: 2000,
    rollback_slack_ms: 250,
    outer_bound_ms: 5000,
    revoke_when_partitioned: false,
    revocation_ms: 5000,
    retry_budget_ratio: 0.2,
    budget_window_s: 10,
    retry_budget_slack: 90,
    cold_overshoot: 1.5,
    cold_slack: 5,
    evacuation_ms: 5000,
    recovery_s: 12,
    pass_ms: 120,
    retry_after_s: 0,
    stall_ms: 1500,
    fencing_enforced: true,
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, Math.max(0, ms)));

/** Waits until a condition holds; throws after the time limit. */
export const until = async (what, condition, limitMs = 15_000) => {
    const endMs = Date.now() + limitMs;
    while (!await condition()) {
        if (Date.now() > endMs) {
            throw new Error(`not in time: ${what}`);
        }
        await sleep(20);
    }
};

/** Draws a block of loopback addresses, so that scripts that run side by side do not meet. */
const block = `127.${randomInt(16, 250)}.${randomInt(1, 250)}`;
let nextHost = 2;
export const newHost = () => `${block}.${nextHost++}`;

/** Finds a free port of a loopback address, for a process that is told its port in its settings. */
export const freePort = host =>
    new Promise((resolve, reject) => {
        const server = createServer().once("error", reject).listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

/** The store: items with revisions, ranges in pages, and watches. */
export class Store {
    host = newHost();
    revision = 10;
    era;
    items = new Map();
    events = [];
    waiting = new Set();

    async listen() {
        this.server = createHttpServer((incoming, response) => void this.handle(incoming, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(0, this.host, resolve));
        this.address = `${this.host}:${this.server.address().port}`;
        return this;
    }

    /** Writes an item; the return of this call is the confirmation. */
    put(key, value) {
        const revision = ++this.revision;
        const text = typeof value === "string" ? value : JSON.stringify(value);
        const created = this.items.get(key)?.created ?? revision;
        const item = { key, value: Buffer.from(text).toString("base64"), revision, created, lease: 0 };
        this.items.set(key, item);
        this.events.push(item);
        this.wake();
        return Date.now();
    }

    remove(key) {
        this.items.delete(key);
        this.events.push({ key, revision: ++this.revision, removed: true });
        this.wake();
        return Date.now();
    }

    /** Copies the items as they are now. */
    copy() {
        return { revision: this.revision, items: new Map(this.items) };
    }

    /** Goes away: answers nothing, and drops its channels. */
    leave() {
        this.isAway = true;
        this.server.closeAllConnections();
    }

    /** Comes back from a copy: revisions go back, and the era rises. */
    comeBack({ items, revision }) {
        this.revision = revision;
        this.items = new Map(items);
        this.events = this.events.filter(event => event.revision <= revision);
        this.era++;
        this.isAway = false;
    }

    wake() {
        this.waiting.forEach(resolve => resolve());
        this.waiting.clear();
    }

    close() {
        this.wake();
        this.server?.closeAllConnections();
        this.server?.close();
    }

    async handle(incoming, response) {
        if (this.isAway) {
            incoming.socket.destroy();
            return;
        }
        const { pathname, searchParams } = new URL(incoming.url, "http://store");
        const prefix = searchParams.get("prefix") ?? "";
        const send = body => {
            const headers = { "content-type": "application/json" };
            if (this.era !== undefined) {
                headers["store-era"] = String(this.era);
            }
            response.writeHead(200, headers).end(JSON.stringify(body));
        };
        if (pathname === "/magnolialock/kv-range") {
            const after = searchParams.get("after") ?? "";
            const all = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
                .sort((left, right) => left.key < right.key ? -1 : 1);
            send({ items: all.slice(0, 500), has_more: all.length > 500, at: this.revision });
            return;
        }
        if (pathname === "/magnolialock/kv-watch") {
            const after = Number(searchParams.get("after"));
            if (after > this.revision) {
                response.writeHead(410, { "store-era": String(this.era ?? 0) }).end();
                return;
            }
            const changes = () =>
                this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            const endMs = Date.now() + Number(searchParams.get("wait_ms"));
            while (changes().length === 0 && Date.now() < endMs && !response.destroyed) {
                let timer;
                await new Promise(resolve => {
                    this.waiting.add(resolve);
                    timer = setTimeout(resolve, endMs - Date.now());
                });
                clearTimeout(timer);
            }
            send({ events: changes(), at: this.revision });
            return;
        }
        response.writeHead(404).end();
    }
}

/** The operator's configuration of a small site; `change` adapts its routes, services and tenants. */
export const configuration = (version, { routes, services, tenants }) => ({
    version,
    routes: routes.map(route => ({
        hostname: "desk.example",
        priority: 1,
        public: false,
        max_attempts: 2,
        timeout_ms: 8000,
        target_latency_ms: 401,
        ...route,
    })),
    services: services.map(service => ({ health_check_path: "/health", connection_limit: 100, ...service })),
    tenants,
    limits: {
        max_header_bytes: 16384,
        max_body_bytes: 4194304,
        header_timeout_ms: 10000,
        idle_timeout_ms: 60000,
    },
});

/** Runs the programs of the deploy file; each process gets a loopback address of its own. */
export class Programs {
    children = [];

    constructor(record) {
        this.record = record;
    }

    async open() {
        this.folder = await mkdtemp(join(tmpdir(), "review-"));
        this.deploy = await readFile(join(REPOSITORY, "deploy", "system.toml"), "utf8");
        return this;
    }

    /** Command of a role, split at spaces as the platform does. */
    command(role) {
        const section = this.deploy.split(`[roles.${role}]`)[1] ?? "";
        const run = /^run = "(.*)"$/m.exec(section)?.[1];
        if (run === undefined) {
            throw new Error(`the deploy file has no role ${role}`);
        }
        return run.split(" ");
    }

    /** Starts a process with these settings; `name` also names its settings file. */
    async start(role, name, settings) {
        const path = join(this.folder, `${name}.json`);
        await writeFile(path, JSON.stringify(settings));
        return this.restart(role, name, path);
    }

    restart(role, name, path = join(this.folder, `${name}.json`)) {
        const [program, ...words] = this.command(role);
        const { HOME, LANG, PATH } = process.env;
        const child = spawn(program, words, {
            cwd: REPOSITORY,
            env: { HOME, LANG, PATH, MAGNOLIALOCK_SETTINGS: path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        child.log = "";
        child.stdout.on("data", bytes => child.log += bytes);
        child.stderr.on("data", bytes => child.log += bytes);
        child.ended = new Promise(resolve =>
            child.once("exit", (code, signal) => {
                this.record(`process ${name} ended: ${signal ?? `exit code ${code}`}`);
                resolve();
            })
        );
        this.children.push(child);
        this.record(`process ${name} started`);
        return child;
    }

    async close() {
        for (const child of this.children) {
            if (child.exitCode === null && child.signalCode === null) {
                child.kill("SIGKILL");
            }
            await child.ended;
        }
        if (this.folder) {
            await rm(this.folder, { recursive: true, force: true });
        }
    }
}

/** Settings of one entry. */
export const entrySettings = async (name, { hosts, index, ports, store, zone = "zone-a" }) => ({
    node_name: name,
    role: "entry",
    machine_class: "frontend",
    serves: ["frontend", "control"],
    ip_address: hosts[index],
    zone,
    region: "region-a",
    zones: { "zone-a": "region-a", "zone-b": "region-a", "zone-c": "region-a" },
    listen_addresses: {
        frontend_address: `${hosts[index]}:${ports.frontend}`,
        readiness: `${hosts[index]}:${ports.readiness}`,
        control_plane: `${hosts[index]}:${ports.control}`,
    },
    internal_port_range: [ports.peers, ports.peers + 15],
    seed_nodes: hosts.slice(0, 3).map(host => `${host}:${ports.control}`),
    bootstrap: true,
    limits: { cpu_share: 0.675, cpu_cores: 1, memory_mb: 350, file_descriptors: 4100, link_mbps: 1000 },
    data_directory: null,
    discovery: "platform",
    entry_point: "virtual_ip",
    heartbeat_interval_ms: 1200,
    bounds: BOUNDS,
    platform: { address: store, form: "read", reads_per_s: 2000, history_s: 20, value_bytes: 1048576 },
});

/** Ports that all machines of a day share. */
export const drawPorts = async host => ({
    frontend: await freePort(host),
    readiness: await freePort(host),
    control: await freePort(host),
    peers: await freePort(host),
});

/** Asks an entry whether it is ready, as the platform does. */
export const isReady = (host, port) =>
    new Promise(resolve => {
        const asked = request(
            { host, port, path: "/magnolialock/readiness", agent: false, timeout: 500 },
            response => {
                response.resume();
                resolve(response.statusCode === 200);
            },
        );
        asked.once("error", () => resolve(false)).once("timeout", () => asked.destroy());
        asked.end();
    });
