/**
 * Load generator of the demo: sends drafts, status reads and bookings, and checks the responses.
 */

import { apiKeyOf, type FleetShape, tokenText } from "@magnolialock/lab";
import { createParser } from "eventsource-parser";
import { setTimeout as delay } from "node:timers/promises";
import type { LocalFleet } from "../shared/localFleet.ts";

/** Kind of call. */
export type CallKind = "draft" | "status" | "booking";

/** Outcomes of the calls of one kind. */
export interface CallCounts {
    /** Complete and correct responses. */
    complete: number;
    /** Failures that are guaranteed not to have run (`x-ran: not run`). */
    notRun: number;
    /** Failures after which the call may have run. */
    unknown: number;
    /** Successful responses with wrong or incomplete content. */
    incorrect: number;
}

/** Outcomes by kind of call. */
export type CallReport = Readonly<Record<CallKind, CallCounts>>;

const emptyCounts = (): CallCounts => ({ complete: 0, notRun: 0, unknown: 0, incorrect: 0 });
const DRAFT_TOKENS = 24;

const countFailure = async (response: Response, counts: CallCounts): Promise<void> => {
    await response.arrayBuffer();
    if (response.headers.get("x-ran") === "not run") {
        counts.notRun++;
        return;
    }
    counts.unknown++;
};

/** Reads the text of a token stream; returns undefined when it does not end with `[DONE]`. */
const readTokens = async (response: Response): Promise<string | undefined> => {
    let text = "";
    let isComplete = false;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                isComplete = true;
                return;
            }
            const chunk = JSON.parse(data) as { readonly choices?: readonly { readonly text: string; }[]; };
            text += chunk.choices?.[0]?.text ?? "";
        },
    });
    parser.feed(await response.text());
    return isComplete ? text : undefined;
};

/** Sends calls of all kinds in turn, through all entries and client accounts, until it is stopped. */
export class LoadGenerator {
    /** Outcomes of the calls so far. */
    public readonly report: CallReport = {
        draft: emptyCounts(),
        status: emptyCounts(),
        booking: emptyCounts(),
    };
    private nextCallNumber = 1;
    private isStopped = false;
    private readonly openCalls = new Set<Promise<void>>();

    public constructor(private readonly fleet: LocalFleet, private readonly shape: FleetShape) {}

    /** Sends calls at a fixed rate, without waiting for responses (open loop). */
    public async run(): Promise<void> {
        const callMix: readonly CallKind[] = ["draft", "status", "booking", "status"];
        const sendIntervalMs = 25;
        for (let callIndex = 0; !this.isStopped; callIndex++) {
            const call = this.send(callMix[callIndex % callMix.length] as CallKind);
            this.openCalls.add(call);
            void call.finally(() => this.openCalls.delete(call));
            await delay(sendIntervalMs);
        }
    }

    /** Stops sending and waits until the open calls have ended. */
    public async stop(): Promise<void> {
        this.isStopped = true;
        await Promise.allSettled([...this.openCalls]);
    }

    private async send(kind: CallKind): Promise<void> {
        const callNumber = this.nextCallNumber++;
        const entry = this.fleet.entries[callNumber % this.fleet.entries.length];
        const account = this.shape.accounts[callNumber % this.shape.accounts.length];
        const headers = {
            authorization: `Bearer ${apiKeyOf(account?.name ?? "")}`,
            "x-request-id": `demo-${callNumber}`,
        };
        try {
            await (kind === "draft"
                ? this.sendDraft(`${entry?.url}`, headers, callNumber)
                : this.sendPlainCall(`${entry?.url}`, headers, kind));
        }
        catch {
            this.report[kind].unknown++;
        }
    }

    private async sendDraft(url: string, headers: Record<string, string>, callNumber: number): Promise<void> {
        const prompt = `Draft quote ${callNumber} for the retail chain.`;
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
        counts[await readTokens(response) === expected ? "complete" : "incorrect"]++;
    }

    private async sendPlainCall(
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
        counts[answer.request_id === headers["x-request-id"] ? "complete" : "incorrect"]++;
    }
}
