/**
 * Backend servers of a virtual fleet: they crash, leave, shed load and name limits as tests tell them.
 */

import type { Address } from "@magnolialock/kernel";
import type { VirtualClock } from "@magnolialock/test-support";
import type { ResponseHead, UpstreamCall, UpstreamConsumer, UpstreamRequest } from "../../types/call.ts";
import { NAMES } from "./directFixture.ts";

/** A request that reached a server. */
export interface FleetArrival {
    readonly atMs: number;
    readonly parts: readonly string[];
    readonly server: string;
    readonly serverId: string;
    /** Index of the entry that sent it. */
    readonly entry: number;
}

/** Something that a server told an entry in an answer. */
export type FleetNotice = Pick<FleetArrival, "atMs" | "entry" | "serverId">;

/** What the servers share. */
export interface ServerWorld {
    readonly clock: VirtualClock;
    readonly options: { readonly keepsServerIds?: boolean; readonly isPlain?: boolean; };
    readonly arrivals: FleetArrival[];
    readonly crashes: { readonly atMs: number; readonly server: string; }[];
    readonly badParts: ReadonlySet<string>;
    readonly leavingHeard: FleetNotice[];
    readonly sheds: FleetNotice[];
    publishServer(server: FleetServer, oldId: string): void;
    pause(durationMs: number): Promise<void>;
}

/** Time from the arrival of a request to the first event of its answer, in milliseconds. */
const FIRST_EVENT_MS = 60;
const EVENT_GAP_MS = 15;
const EVENTS = 8;
/** Time from a crash to the return of the server, in milliseconds. */
const RESTART_MS = 3_000;
/** Time that the store takes to tell all entries, in milliseconds. */
const STORE_LAG_MS = 100;
/** Time for which the other ranks of a group wait for a missing one before they refuse, in milliseconds. */
const STALL_MS = 1_500;
/** Time that a group takes to form once all its ranks are back, in milliseconds. */
const FORM_MS = 600;
export const DATAGRAM_DELAY_MS = 1;
/** Model servers that run in lock-step. */
export interface FleetGroup {
    crashedMs: number;
    openMs: number;
}

/** A model server; it loses everything when it crashes and returns with another identifier. */
export class FleetServer {
    public id: string;
    public isUp = true;
    /** Limit that the server names in its answers, in requests per second; undefined if it names none. */
    public limitPerS: number | undefined;
    /** What all its answers say about its leaving; undefined if they say nothing. */
    public leaving: ResponseHead["headers"][string];
    /**
     * Requests that it runs at a time, and what it names in `Retry-After` when it turns others away; undefined if it
     * takes all.
     */
    public shedding: { readonly capacity: number; readonly retryAfter: string; } | undefined;
    /** Start of its process, in milliseconds; undefined if it does not publish that. */
    public bornMs: number | undefined;
    public readonly running = new Set<FleetAttempt>();
    private life = 1;

    public constructor(
        private readonly fleet: ServerWorld,
        public readonly name: string,
        public readonly address: Address,
        public readonly group: FleetGroup | undefined,
    ) {
        this.id = `${name}-1`;
    }

    /** Ends the process of the server; it is back after some seconds. */
    public crash(): void {
        if (!this.isUp) {
            return;
        }
        const { clock } = this.fleet;
        this.isUp = false;
        if (this.group) {
            this.group.crashedMs = clock.nowMs();
            this.group.openMs = clock.nowMs() + RESTART_MS + FORM_MS;
        }
        for (const attempt of [...this.running]) {
            attempt.end("broken");
        }
        clock.setTimer(RESTART_MS, () => {
            this.isUp = true;
            const oldId = this.id;
            this.id = this.fleet.options.keepsServerIds ? oldId : `${this.name}-${++this.life}`;
            clock.setTimer(STORE_LAG_MS, () => this.fleet.publishServer(this, oldId));
        });
    }
}

/** One attempt at a server. */
export class FleetAttempt implements UpstreamCall {
    public readonly ended: UpstreamCall["ended"];
    /** Whether the answer has begun. */
    public hasBegun = false;
    private readonly resolveEnd: (end: Awaited<UpstreamCall["ended"]>) => void;

    public constructor(
        private readonly fleet: ServerWorld,
        public readonly server: FleetServer | undefined,
        private readonly entry: number,
        private readonly request: UpstreamRequest,
        private readonly consumer: UpstreamConsumer,
    ) {
        let resolveEnd: (end: Awaited<UpstreamCall["ended"]>) => void = () => {};
        this.ended = new Promise(resolve => resolveEnd = resolve);
        this.resolveEnd = resolveEnd;
        void this.run();
    }

    public header(name: string): string | undefined {
        const { headers } = this.request;
        const index = headers.findIndex((text, position) =>
            position % 2 === 0 && text.toLowerCase() === name
        );
        return index < 0 ? undefined : headers[index + 1];
    }

    /** Identifiers of the prompt's parts; for a request without a prompt, what it asks for. */
    public get parts(): readonly string[] {
        return this.header(NAMES.promptParts)?.split(",").map(part => part.split(":")[0] as string)
            ?? [this.request.path.slice(1, this.request.path.lastIndexOf("/"))];
    }

    public end(kind: "broken" | "notSent" | "complete"): void {
        this.server?.running.delete(this);
        this.resolveEnd(kind === "complete" ? { kind } : { kind, message: "reset" });
    }

    public abort(): void {
        this.end("broken");
    }

    public pause(): void {}

    public resume(): void {}

    private async run(): Promise<void> {
        const { fleet, server } = this;
        if (!server?.isUp) {
            await fleet.pause(DATAGRAM_DELAY_MS);
            this.end("notSent");
            return;
        }
        server.running.add(this);
        fleet.arrivals.push({
            atMs: fleet.clock.nowMs(),
            parts: this.parts,
            server: server.name,
            serverId: server.id,
            entry: this.entry,
        });
        if (server.shedding && server.running.size > server.shedding.capacity) {
            await fleet.pause(DATAGRAM_DELAY_MS);
            this.sendHead(503, { [NAMES.notRun]: "1", "retry-after": server.shedding.retryAfter });
            this.end("complete");
            return;
        }
        await fleet.pause(FIRST_EVENT_MS);
        if (await this.isRefusedByGroup()) {
            return;
        }
        if (!server.running.has(this)) {
            return;
        }
        if (this.parts.some(part => fleet.badParts.has(part))) {
            fleet.crashes.push({ atMs: fleet.clock.nowMs(), server: server.name });
            server.crash();
            return;
        }
        if (fleet.options.isPlain) {
            this.sendHead(200, { [NAMES.signature]: "signed" });
            this.consumer.onData(Buffer.from("x"));
            this.end("complete");
            return;
        }
        await this.answer(server);
    }

    private async isRefusedByGroup(): Promise<boolean> {
        const { fleet, server } = this;
        const group = server?.group;
        if (!group || fleet.clock.nowMs() >= group.openMs) {
            return false;
        }
        await fleet.pause(Math.max(0, group.crashedMs + STALL_MS - fleet.clock.nowMs()));
        if (server?.running.has(this)) {
            this.sendHead(503, { [NAMES.notRun]: "1", [NAMES.refusingServer]: server.address });
            this.end("complete");
        }
        return true;
    }

    private async answer(server: FleetServer): Promise<void> {
        const { fleet } = this;
        this.hasBegun = true;
        this.sendHead(200, { [NAMES.signature]: "signed", "content-type": "text/event-stream" });
        const first = Number(this.header(NAMES.lastEventId) ?? 0) + 1;
        for (let event = first; event <= EVENTS && server.running.has(this); event++) {
            this.consumer.onData(Buffer.from(`id: ${event}\ndata: x\n\n`));
            await fleet.pause(EVENT_GAP_MS);
            const { group } = server;
            if (group && fleet.clock.nowMs() < group.openMs) {
                await fleet.pause(Math.max(0, group.crashedMs + STALL_MS - fleet.clock.nowMs()));
                this.end("broken");
                return;
            }
        }
        if (server.running.has(this)) {
            this.end("complete");
        }
    }

    private sendHead(status: number, headers: ResponseHead["headers"]): void {
        const { fleet, server } = this;
        this.consumer.onHead({
            status,
            headers: {
                ...headers,
                [NAMES.requestId]: this.header(NAMES.requestId),
                [NAMES.serverLimit]: server?.limitPerS?.toString(),
                [NAMES.leaving]: server?.leaving,
            },
        });
        if (status === 503 && server && headers["retry-after"] !== undefined) {
            fleet.sheds.push({ atMs: fleet.clock.nowMs(), entry: this.entry, serverId: server.id });
        }
        if (server?.leaving !== undefined) {
            fleet.leavingHeard.push({ atMs: fleet.clock.nowMs(), entry: this.entry, serverId: server.id });
        }
    }
}
