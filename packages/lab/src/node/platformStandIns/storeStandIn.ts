/**
 * Stand-in of the users' platform store: items with revisions that can be read in pages and watched. It can
 * reproduce the store's failures.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import type { IncomingMessage, ServerResponse } from "node:http";
import { LoopbackServer } from "./loopbackServer.ts";

/** How the store handles requests. */
export type StoreMode =
    /** Answers correctly. */
    | "serving"
    /** Answers with status 503. */
    | "refusing"
    /** Closes the connection without an answer. */
    | "resetting"
    /** Never answers. */
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

/** Store that listens on a loopback address. */
export class StoreStandIn extends LoopbackServer {
    /** How it handles requests now. */
    public mode: StoreMode = "serving";
    /** Greatest number of items in a page. */
    public pageSize = 3;
    /** Called after each page; a reader must not miss changes that are made between the pages of one read. */
    public onPageSent: () => void = () => {};
    /** Number of calls so far, in every mode. */
    public calls = 0;
    private readonly items = new Map<string, StoredItem>();
    private readonly pendingWatches = new Set<() => void>();
    private changes: StoredChange[] = [];
    private revision = 1;
    /** A watch for the changes after an earlier revision than this is answered with status 410. */
    private compactedRevision = 1;

    /** @param clock - source of time */
    public constructor(private readonly clock: Clock) {
        super();
    }

    /**
     * Writes an item.
     *
     * @param key - key of the item
     * @param content - content of the item; a string is stored as it is, anything else as JSON
     */
    public put(key: string, content: unknown): void {
        const revision = ++this.revision;
        const text = typeof content === "string" ? content : JSON.stringify(content);
        const created = this.items.get(key)?.created ?? revision;
        const item = { key, value: Buffer.from(text).toString("base64"), revision, created };
        this.items.set(key, item);
        this.recordChange({ key, revision, item });
    }

    /**
     * Removes an item.
     *
     * @param key - key of the item
     */
    public remove(key: string): void {
        this.items.delete(key);
        this.recordChange({ key, revision: ++this.revision, item: undefined });
    }

    /** Discards the history of changes and closes all connections, and with them all watches. */
    public compact(): void {
        this.changes = [];
        this.compactedRevision = this.revision;
        this.server.closeAllConnections();
    }

    private recordChange(change: StoredChange): void {
        this.changes.push(change);
        const watches = [...this.pendingWatches];
        this.pendingWatches.clear();
        watches.forEach(notify => notify());
    }

    protected async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
            this.sendPage(prefix, url.searchParams.get("after") ?? "", response);
            return;
        }
        if (url.pathname === "/magnolialock/kv-watch") {
            const waitMs = Number(url.searchParams.get("wait_ms"));
            await this.handleWatch(prefix, Number(url.searchParams.get("after")), waitMs, response);
            return;
        }
        response.writeHead(HTTP_NOT_FOUND).end();
    }

    private sendPage(prefix: string, after: string, response: ServerResponse): void {
        const keys = [...this.items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = keys.slice(0, this.pageSize);
        const items = page.map(key => ({ ...this.items.get(key), lease: 0 }));
        this.sendJson(response, { items, has_more: keys.length > page.length, at: this.revision });
        this.onPageSent();
    }

    private async handleWatch(
        prefix: string,
        after: number,
        waitMs: number,
        response: ServerResponse,
    ): Promise<void> {
        if (after < this.compactedRevision) {
            response.writeHead(HTTP_GONE).end();
            return;
        }
        const changesSince = (): StoredChange[] =>
            this.changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
        if (changesSince().length === 0) {
            await new Promise<void>(resolve => {
                const timer = this.clock.setTimer(waitMs, resolve);
                this.pendingWatches.add(() => {
                    timer.cancel();
                    resolve();
                });
            });
        }
        const events = changesSince().map(({ item, key, revision }) =>
            item ? { ...item, lease: 0 } : { key, revision, removed: true }
        );
        this.sendJson(response, { events, at: this.revision });
    }

    private sendJson(response: ServerResponse, body: unknown): void {
        response.writeHead(HTTP_OK, { "content-type": "application/json" }).end(JSON.stringify(body));
    }
}
