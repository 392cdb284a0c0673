/**
 * Callers of the demo: drafts, status reads and bookings, with the answers checked.
 */

import { apiKeyOf, type FleetShape, tokenText } from "@magnolialock/lab";
import { createParser } from "eventsource-parser";
import { setTimeout as delay } from "node:timers/promises";
import type { LocalFleet } from "../shared/localFleet.ts";

/** Kinds of calls. */
export type CallKind = "draft" | "status" | "booking";

/** Counts of one kind of call. */
export interface CallCounts {
    /** Whole answers. */
    whole: number;
    /** Refusals that say "not run". */
    notRun: number;
    /** Failures whose outcome is unknown. */
    unknown: number;
    /** Answers that were wrong or short. */
    wrong: number;
}

/** Counts by kind of call. */
export type CallReport = Readonly<Record<CallKind, CallCounts>>;

const emptyCounts = (): CallCounts => ({ whole: 0, notRun: 0, unknown: 0, wrong: 0 });
const DRAFT_TOKENS = 24;

const countFailure = async (response: Response, counts: CallCounts): Promise<void> => {
    await response.arrayBuffer();
    if (response.headers.get("x-ran") === "not run") {
        counts.notRun++;
        return;
    }
    counts.unknown++;
};

/** Reads the tokens of a stream; undefined when it has no end mark. */
const readTokens = async (response: Response): Promise<string | undefined> => {
    let text = "";
    let isWhole = false;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                isWhole = true;
                return;
            }
            const chunk = JSON.parse(data) as { readonly choices?: readonly { readonly text: string; }[]; };
            text += chunk.choices?.[0]?.text ?? "";
        },
    });
    parser.feed(await response.text());
    return isWhole ? text : undefined;
};

/** Sends calls until it is stopped. */
export class Callers {
    /** What became of the calls. */
    public readonly report: CallReport = {
        draft: emptyCounts(),
        status: emptyCounts(),
        booking: emptyCounts(),
    };
    private nextNumber = 1;
    private isStopped = false;
    private readonly open = new Set<Promise<void>>();

    public constructor(private readonly fleet: LocalFleet, private readonly shape: FleetShape) {}

    /** Sends calls at a fixed pace. */
    public async run(): Promise<void> {
        const mix: readonly CallKind[] = ["draft", "status", "booking", "status"];
        const paceMs = 25;
        for (let turn = 0; !this.isStopped; turn++) {
            const call = this.send(mix[turn % mix.length] as CallKind);
            this.open.add(call);
            void call.finally(() => this.open.delete(call));
            await delay(paceMs);
        }
    }

    /** Stops sending and waits for open calls. */
    public async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.allSettled([...this.open]);
    }

    private async send(kind: CallKind): Promise<void> {
        const number = this.nextNumber++;
        const entry = this.fleet.entries[number % this.fleet.entries.length];
        const account = this.shape.accounts[number % this.shape.accounts.length];
        const headers = {
            authorization: `Bearer ${apiKeyOf(account?.name ?? "")}`,
            "x-request-id": `demo-${number}`,
        };
        try {
            await (kind === "draft"
                ? this.draft(`${entry?.url}`, headers, number)
                : this.plain(`${entry?.url}`, headers, kind));
        }
        catch {
            this.report[kind].unknown++;
        }
    }

    private async draft(url: string, headers: Record<string, string>, number: number): Promise<void> {
        const prompt = `Draft quote ${number} for the retail chain.`;
        const body = JSON.stringify({ prompt, max_tokens: DRAFT_TOKENS, stream: true });
        const path = `${url}/${this.shape.modelService}/v1/completions`;
        const response = await fetch(path, { method: "POST", headers, body });
        const counts = this.report.draft;
        if (!response.ok) {
            await countFailure(response, counts);
            return;
        }
        const expected = Array.from({ length: DRAFT_TOKENS }, (_, index) => tokenText(prompt, index)).join(
            "",
        );
        counts[await readTokens(response) === expected ? "whole" : "wrong"]++;
    }

    private async plain(
        url: string,
        headers: Record<string, string>,
        kind: "status" | "booking",
    ): Promise<void> {
        const service = `${url}/${this.shape.plainService}`;
        const response = kind === "status"
            ? await fetch(`${service}/status/shelf-4`, { headers })
            : await fetch(`${service}/bookings`, { method: "POST", headers, body: "three springs" });
        const counts = this.report[kind];
        if (!response.ok) {
            await countFailure(response, counts);
            return;
        }
        const answer = await response.json() as { readonly request_id: string; };
        counts[answer.request_id === headers["x-request-id"] ? "whole" : "wrong"]++;
    }
}
