/**
 * Stand-in of the users' platform store: items with revisions that can be read in pages and watched. It can
 * reproduce the store's failures.
 *
 * @packageDocumentation
 */

import type { Clock } from "@magnolialock/kernel";
import { type RevisionedItem, RevisionedStore, type StoreCopy } from "@magnolialock/test-support";
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
    /** Whether its answers name the era; older stores do not. */
    public namesEra = true;
    /** Number of calls so far, in every mode. */
    public calls = 0;
    private readonly model: RevisionedStore;

    /** @param clock - source of time */
    public constructor(clock: Clock) {
        super();
        this.model = new RevisionedStore(clock);
    }

    /**
     * Writes an item.
     *
     * @param key - key of the item
     * @param content - content of the item; a string is stored as it is, anything else as JSON
     */
    public put(key: string, content: unknown): void {
        this.model.put(key, typeof content === "string" ? content : JSON.stringify(content));
    }

    /**
     * Removes an item.
     *
     * @param key - key of the item
     */
    public remove(key: string): void {
        this.model.remove(key);
    }

    /** Discards the history of changes and closes all connections, and with them all watches. */
    public compact(): void {
        this.model.compact();
        this.server.closeAllConnections();
    }

    /** Copies the store as it is now. */
    public copy(): StoreCopy {
        return this.model.copy();
    }

    /**
     * Returns from an older copy; the era rises.
     *
     * @param copy - the copy
     * @param options - whether open connections stay open, as behind a proxy
     */
    public restore(copy: StoreCopy, options: { readonly keepsConnections?: boolean; } = {}): void {
        if (!options.keepsConnections) {
            this.server.closeAllConnections();
        }
        this.model.restore(copy);
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
        const { hasMore, items } = this.model.page(prefix, after, this.pageSize);
        this.sendJson(response, {
            items: items.map(toWire),
            has_more: hasMore,
            at: this.model.revision,
        });
        this.onPageSent();
    }

    private async handleWatch(
        prefix: string,
        after: number,
        waitMs: number,
        response: ServerResponse,
    ): Promise<void> {
        if (this.model.changesAfter(after, prefix)?.length === 0) {
            await this.model.waitForChange(waitMs);
        }
        const changes = this.model.changesAfter(after, prefix);
        if (!changes) {
            response.writeHead(HTTP_GONE, this.eraHeader()).end();
            return;
        }
        const events = changes.map(({ item, key, revision }) =>
            item ? toWire(item) : { key, revision, removed: true }
        );
        this.sendJson(response, { events, at: this.model.revision });
    }

    private sendJson(response: ServerResponse, body: unknown): void {
        response.writeHead(HTTP_OK, { "content-type": "application/json", ...this.eraHeader() })
            .end(JSON.stringify(body));
    }

    private eraHeader(): Record<string, string> {
        return this.namesEra ? { "store-era": String(this.model.era) } : {};
    }
}

const toWire = ({ created, key, revision, text }: RevisionedItem) => ({
    key,
    value: Buffer.from(text).toString("base64"),
    revision,
    created,
    lease: 0,
});
