/**
 * Stand-in of the users' platform store: items with revisions, pages and watches, and the ways in which it fails.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import { LoopbackServer } from "./loopbackServer.ts";

/** How the store answers. */
export type StoreMode =
    /** As it should. */
    | "serving"
    /** With status 503. */
    | "refusing"
    /** By closing connections. */
    | "resetting"
    /** Not at all. */
    | "silent";

interface StoredItem {
    readonly key: string;
    readonly value: string;
    readonly revision: number;
    readonly created: number;
}

interface StoredChange {
    readonly key: string;
    readonly revision: number;
    readonly item: StoredItem | undefined;
}

const HTTP_OK = 200;
const HTTP_GONE = 410;
const HTTP_NOT_FOUND = 404;
const HTTP_UNAVAILABLE = 503;

/** A store on loopback. */
export class StoreStandIn extends LoopbackServer {
    /** How it answers now. */
    public mode: StoreMode = "serving";
    /** Items of one page. */
    public pageSize = 3;
    /** Runs between two pages of one read; changes made there must not be missed by a reader. */
    public betweenPages: () => void = () => {};
    /** Calls so far, refused ones included. */
    public calls = 0;
    private readonly items = new Map<string, StoredItem>();
    private readonly waiting = new Set<() => void>();
    private changes: StoredChange[] = [];
    private revision = 1;
    private oldestKnown = 1;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {
        super();
    }

    /**
     * Writes an item.
     *
     * @param key - its key
     * @param content - its content; a text is stored as it is, anything else as JSON
     */
    public put(key: string, content: unknown): void {
        const revision = ++this.revision;
        const text = typeof content === "string" ? content : JSON.stringify(content);
        const created = this.items.get(key)?.created ?? revision;
        const item = { key, value: Buffer.from(text).toString("base64"), revision, created };
        this.items.set(key, item);
        this.note({ key, revision, item });
    }

    /**
     * Removes an item.
     *
     * @param key - its key
     */
    public remove(key: string): void {
        this.items.delete(key);
        this.note({ key, revision: ++this.revision, item: undefined });
    }

    /** Forgets the history of changes and cuts all watches. */
    public compact(): void {
        this.changes = [];
        this.oldestKnown = this.revision;
        this.server.closeAllConnections();
    }

    private note(change: StoredChange): void {
        this.changes.push(change);
        const waiting = [...this.waiting];
        this.waiting.clear();
        waiting.forEach(wake => wake());
    }

    protected async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        this.calls++;
        const url = new URL(request.url ?? "/", "http://store");
        switch (this.mode) {
            case "silent":
                return;
            case "resetting":
                request.socket.destroy();
                return;
            case "refusing":
                response.writeHead(HTTP_UNAVAILABLE).end();
                return;
            case "serving":
                break;
        }
        const prefix = url.searchParams.get("prefix") ?? "";
        if (url.pathname === "/magnolialock/kv-range") {
            this.answerPage(prefix, url.searchParams.get("after") ?? "", response);
            return;
        }
        if (url.pathname === "/magnolialock/kv-watch") {
            const waitMs = Number(url.searchParams.get("wait_ms"));
            await this.answerWatch(prefix, Number(url.searchParams.get("after")), waitMs, response);
            return;
        }
        response.writeHead(HTTP_NOT_FOUND).end();
    }

    private answerPage(prefix: string, after: string, response: ServerResponse): void {
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = keys.slice(0, this.pageSize);
        const items = page.map(key => ({ ...this.items.get(key), lease: 0 }));
        this.send(response, { items, has_more: keys.length > page.length, at: this.revision });
        this.betweenPages();
    }

    private async answerWatch(
        prefix: string,
        after: number,
        waitMs: number,
        response: ServerResponse,
    ): Promise<void> {
        if (after < this.oldestKnown) {
            response.writeHead(HTTP_GONE).end();
            return;
        }
        const since = (): StoredChange[] =>
            this.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
        if (since().length === 0) {
            await new Promise<void>(resolve => {
                const timer = this.clock.setTimer(waitMs, resolve);
                this.waiting.add(() => {
                    timer.cancel();
                    resolve();
                });
            });
        }
        const events = since().map(({ item, key, revision }) =>
            item ? { ...item, lease: 0 } : { key, revision, removed: true }
        );
        this.send(response, { events, at: this.revision });
    }

    private send(response: ServerResponse, body: unknown): void {
        response.writeHead(HTTP_OK, { "content-type": "application/json" }).end(JSON.stringify(body));
    }
}
