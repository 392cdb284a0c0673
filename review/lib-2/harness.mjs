// What the scripts of this review share: stand-ins of the platform's store, the start of the project's programs with the
// commands of the deploy file, settings files, raw callers and the record. Plain Node.js, without dependencies.

import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const hasTrouble = process.env.TROUBLE !== "0";

/** Record of one case: what was sent, answered and run. */
export class Record {
    constructor(folder) {
        this.path = join(folder, "record.txt");
        this.startMs = performance.now();
        writeFileSync(this.path, "");
    }
    line(text) {
        const seconds = ((performance.now() - this.startMs) / 1000).toFixed(3).padStart(8);
        appendFileSync(this.path, `${seconds} ${text}\n`);
    }
    say(text) {
        this.line(text);
        console.log(text);
    }
}

export const freePort = host => new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
        const { port } = server.address();
        server.close(() => resolve(port));
    });
});

/** Stand-in of the platform's store: items with revisions, read in pages and watched. */
export class Store {
    revision = 10;
    items = new Map();
    log = [];
    waiting = new Set();
    constructor(host = "127.0.0.1") {
        this.host = host;
        this.server = http.createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
    }
    async listen() {
        await new Promise(resolve => this.server.listen(0, this.host, resolve));
        this.address = `${this.host}:${this.server.address().port}`;
    }
    put(key, value) {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        const revision = ++this.revision;
        const created = this.items.get(key)?.created ?? revision;
        const item = { key, value: Buffer.from(text).toString("base64"), revision, created, lease: 0 };
        this.items.set(key, item);
        this.log.push(item);
        this.wake();
    }
    remove(key) {
        if (this.items.delete(key)) {
            this.log.push({ key, revision: ++this.revision, removed: true });
            this.wake();
        }
    }
    wake() {
        for (const listener of [...this.waiting]) {
            listener();
        }
    }
    json(response, body) {
        response.writeHead(200, { "content-type": "application/json", "store-era": "1" });
        response.end(JSON.stringify(body));
    }
    handle(request, response) {
        const url = new URL(request.url, "http://store");
        const prefix = url.searchParams.get("prefix") ?? "";
        if (url.pathname === "/magnolialock/kv-range") {
            const after = url.searchParams.get("after") ?? "";
            const all = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > after)
                .sort((left, right) => left.key < right.key ? -1 : 1);
            this.json(response, { items: all.slice(0, 500), has_more: all.length > 500, at: this.revision });
            return;
        }
        if (url.pathname === "/magnolialock/kv-watch") {
            const after = Number(url.searchParams.get("after"));
            const events = () => this.log.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
            const answer = () => {
                clearTimeout(timer);
                this.waiting.delete(listener);
                this.json(response, { events: events(), at: this.revision });
            };
            const listener = () => events().length > 0 && answer();
            const timer = setTimeout(answer, Math.min(30_000, Number(url.searchParams.get("wait_ms"))));
            this.waiting.add(listener);
            request.on("close", () => {
                if (!response.writableEnded) {
                    clearTimeout(timer);
                    this.waiting.delete(listener);
                }
            });
            listener();
            return;
        }
        response.writeHead(404).end();
    }
    close() {
        this.server.close();
        this.server.closeAllConnections();
    }
}

const BOUNDS = {
    seed_lag_s: 3, address_reuse_s: 2, stable_window_ms: 3000, confirmation_ms: 4000, catch_up_s: 4, drain_ms: 2000,
    grace_period_s: 8, loss_slack_ms: 200, configuration_apply_ms: 2000, rollback_slack_ms: 250, outer_bound_ms: 5000,
    revoke_when_partitioned: false, revocation_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10,
    retry_budget_slack: 90, cold_overshoot: 1.5, cold_slack: 5, evacuation_ms: 5000, recovery_s: 12, pass_ms: 120,
    retry_after_s: 0, stall_ms: 1500, fencing_enforced: true,
};
const PLATFORM = {
    form: "read", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000,
};
const ZONE = "zone-a";

/** Command of a role in the deploy file, as a list of words. */
const commandOf = role => {
    const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
    const section = text.split(`[roles.${role}]`)[1];
    return /^run = "(.*)"$/m.exec(section)[1].split(" ");
};

/** One of the project's programs as a process of its own. */
export class Program {
    output = "";
    constructor(role, settings, { host, metricsPort, keepOutput = 400_000 } = {}) {
        this.role = role;
        this.settings = settings;
        this.host = host;
        this.folder = mkdtempSync(join(tmpdir(), "review-"));
        this.path = join(this.folder, "boot.json");
        this.metricsPort = metricsPort;
        this.keepOutput = keepOutput;
        this.writeSettings();
    }
    writeSettings() {
        writeFileSync(this.path, JSON.stringify(this.settings));
    }
    start() {
        const [, ...words] = commandOf(this.role).map(word => word === "9464" ? String(this.metricsPort) : word);
        this.child = spawn(process.execPath, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, MAGNOLIALOCK_SETTINGS: this.path },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const keep = chunk => this.output = (this.output + chunk).slice(-this.keepOutput);
        this.child.stdout.on("data", keep);
        this.child.stderr.on("data", keep);
        this.exited = new Promise(resolve => this.child.once("exit", (code, signal) => {
            this.exit = { code, signal };
            resolve(this.exit);
        }));
        this.exit = undefined;
    }
    get isRunning() {
        return this.child !== undefined && this.exit === undefined;
    }
    signal(name) {
        this.child.kill(name);
    }
    async stop() {
        if (this.isRunning) {
            this.child.kill("SIGKILL");
            await this.exited;
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
    isReady() {
        return new Promise(resolve => {
            const [host, port] = this.settings.listen_addresses.readiness.split(":");
            const request = http.get({ host, port, path: "/magnolialock/readiness", agent: false }, response => {
                response.resume();
                resolve(response.statusCode === 200);
            });
            request.on("error", () => resolve(false));
        });
    }
}

/** Settings of an entry, as `fleetbench wire` shows them for a small site. */
export const entryProgram = async ({ name = "frontend-zone-a-1", host = "127.0.0.1", store, peerPort, seeds = [], limits }) => {
    const [callers, readiness, control, metricsPort] = [
        await freePort(host), await freePort(host), await freePort(host), await freePort(host),
    ];
    const peers = peerPort ?? await freePort(host);
    return new Program("entry", {
        node_name: name,
        role: "entry",
        machine_class: "frontend",
        serves: ["frontend", "control"],
        ip_address: host,
        zone: ZONE,
        region: "region-a",
        zones: { [ZONE]: "region-a" },
        listen_addresses: {
            frontend_address: `${host}:${callers}`,
            readiness: `${host}:${readiness}`,
            control_plane: `${host}:${control}`,
        },
        internal_port_range: [peers, peers + 1],
        seed_nodes: seeds,
        bootstrap: true,
        counted_in_tolerance: false,
        limits: limits
            ?? { cpu_share: 0.675, cpu_cores: 1, memory_mb: 350, file_descriptors: 4100, link_mbps: 1000, disk_mb: 0 },
        data_directory: null,
        discovery: "platform",
        entry_point: "virtual_ip",
        heartbeat_interval_ms: 1200,
        bounds: BOUNDS,
        platform: { address: store.address, ...PLATFORM },
    }, { host, metricsPort });
};

/** Settings of the agent beside a model server. */
export const rankProgram = ({ name, host, store, peerPort, seeds, app, service }) =>
    new Program("rank", {
        node_name: name,
        role: "rank",
        machine_class: "side",
        serves: ["side"],
        ip_address: host,
        zone: ZONE,
        region: "region-a",
        zones: { [ZONE]: "region-a" },
        listen_addresses: {},
        internal_port_range: [peerPort, peerPort + 1],
        seed_nodes: seeds,
        bootstrap: true,
        counted_in_tolerance: false,
        limits: { cpu_share: 0.405, cpu_cores: 1, memory_mb: 218, file_descriptors: 1494, link_mbps: 14, disk_mb: 0 },
        data_directory: null,
        discovery: "platform",
        entry_point: "virtual_ip",
        heartbeat_interval_ms: 1200,
        bounds: BOUNDS,
        app,
        service,
        platform: { address: store.address, ...PLATFORM },
    }, { host });

export const eventually = async (condition, limitMs = 15_000) => {
    const endMs = performance.now() + limitMs;
    while (performance.now() < endMs) {
        if (await condition()) {
            return true;
        }
        await sleep(25);
    }
    return false;
};

export const HOST = "shop.example";
export const KEY = "key-1";
const LIMITS = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 };

/** Configuration of the operator with the kinds of request of a small site. */
export const configuration = (version, { drafting, orders, drafts = "drafting", ...changes } = {}) => ({
    version,
    routes: [
        {
            name: "stock-book", hostname: HOST, prefix: "/book/", kind: "unsafe", timeout_ms: 800, target_latency_ms: 123,
            priority: 2, service: "orders", max_attempts: 1, public: false, sticky_sessions: false, resumable: false,
        },
        {
            name: "order-status", hostname: HOST, prefix: "/status/", kind: "safe", timeout_ms: 800, target_latency_ms: 122,
            priority: 2, service: "orders", max_attempts: 2, public: false, sticky_sessions: false, resumable: false,
        },
        {
            name: "quote-draft", hostname: HOST, prefix: "/draft/", kind: "streaming", timeout_ms: 8000,
            target_latency_ms: 401, priority: 1, service: drafts, max_attempts: 2, public: false, sticky_sessions: true,
            resumable: true, target_gap_ms: 120,
        },
    ],
    services: [
        {
            name: "drafting", health_check_path: "/health", connection_limit: 408, protocol: "h1", tls: false,
            cold_start_s: 3, cold_per_s: 38,
            engine: {
                slots: 8, kv_cache_tokens: 248000, link_mbps: 44000, stride: 5, models: [{ name: "m" }], step_ms: 5.85,
                per_seq_ms: 0.5325, context_per_k: 0.054, read_per_s: 61200, pairs_per_m: 0.325, chunk: 512,
                report_lag_ms: 200, usual: { prompt: 835, answer: 139 }, ...drafting,
            },
        },
        {
            name: "orders", health_check_path: "/health", connection_limit: 100, protocol: "h1", tls: false,
            cold_start_s: 0, cold_per_s: 0, ...orders,
        },
    ],
    limits: LIMITS,
    tenants: [{ name: "shop", api_keys: [KEY], priority: 1 }],
    ...changes,
});

export const serverEntry = (service, address, changes = {}) => ({
    service, address, zone: ZONE, version: "v1", slots: 8, state: "ready", cold_remaining_ms: 0, sequence: 1, ...changes,
});

let requestCount = 0;
export const newId = () => (++requestCount).toString(16).padStart(8, "0") + Math.random().toString(16).slice(2, 10).padEnd(8, "0");

/**
 * Sends one request as a client does and reads its answer as it comes: status, headers, body, and whether the answer is
 * complete by the framing of HTTP.
 */
export const send = (address, { method = "POST", path, headers = {}, body = "", id = newId(), budgetMs = 1510, agent = false, key = KEY }) =>
    new Promise(resolve => {
        const [host, port] = address.split(":");
        const chunks = [];
        let answer;
        let isDone = false;
        const startMs = performance.now();
        const finish = outcome => {
            if (!isDone) {
                isDone = true;
                clearTimeout(timer);
                const { headers: answerHeaders = {}, statusCode: status = 0 } = answer ?? {};
                resolve({
                    id, status, headers: answerHeaders, text: Buffer.concat(chunks).toString(), outcome,
                    isComplete: outcome === "complete", tookMs: Math.round(performance.now() - startMs),
                });
            }
        };
        const request = http.request({
            host, port, path, method, agent,
            headers: {
                host: HOST, "x-request-id": id, "x-request-deadline": String(budgetMs), "x-credential": key,
                ...body.length > 0 && { "content-length": String(Buffer.byteLength(body)) }, ...headers,
            },
        }, response => {
            answer = response;
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => finish(response.complete ? "complete" : "cut"));
            response.on("error", () => finish("cut"));
            response.on("close", () => finish(response.complete ? "complete" : "cut"));
        });
        const timer = setTimeout(() => {
            finish("no answer within the time budget");
            request.destroy();
        }, budgetMs + 500);
        request.on("error", error => finish(`closed: ${error.code ?? error.message}`));
        request.end(body);
    });

/** Ends the case with the exit code of the rule: 1 if it was broken, 0 if it held, 2 if the case could not run. */
export const conclude = async (record, stop, run) => {
    const end = async text => {
        record.say(text);
        await Promise.race([stop(), sleep(3000)]).catch(() => {});
        process.exit(2);
    };
    const limit = setTimeout(() => void end("the case took too long"), 112_000);
    process.once("SIGTERM", () => void end("the case was stopped"));
    process.once("SIGINT", () => void end("the case was stopped"));
    let code = 2;
    try {
        code = await run();
    }
    catch (error) {
        record.say(`the case could not run: ${error.stack}`);
    }
    try {
        await stop();
    }
    catch (error) {
        record.say(`clean-up: ${error.stack}`);
    }
    clearTimeout(limit);
    record.say(`exit ${code}`);
    process.exit(code);
};
