/** The HTTP application for callers on a stub entry. */

import { ConfigurationStore } from "@magnolialock/control";
import { type AnswerEvent, createHttpApp, type Entry } from "@magnolialock/entry";
import { branded, createSystemClock, EventLog, type Revision } from "@magnolialock/kernel";
import { createHash } from "node:crypto";

/** API key of the account in the rules. */
export const KEY = "secret";
const RULES = [
    "service redator kind=model",
    "service painel kind=plain",
    `account loja-1 key=sha256:${createHash("sha256").update(KEY).digest("hex")} rate=20/s`,
].map(line => `${line} # Ana\n`).join("");

/** Passes on the events of an answer. */
export type Answer = (consume: (event: AnswerEvent) => void) => Promise<void>;

interface ReceivedRequest {
    request?: Parameters<Entry["serve"]>[0];
    isAborted: boolean;
}

/** Creates the HTTP application on a stub entry that returns the given answer. */
export const createTestApp = (answer: readonly AnswerEvent[] | Answer) => {
    const events = new EventLog({ clock: createSystemClock(), instance: "entry-1" });
    const configuration = new ConfigurationStore({ events });
    configuration.offer(branded<Revision>(1), Buffer.from(RULES), "test");
    const seen: ReceivedRequest = { isAborted: false };
    const entry = {
        context: { configuration } as Entry["context"],
        running: 0,
        isReady: true,
        serve: async (request, signal, consume) => {
            seen.request = request;
            signal.addEventListener("abort", () => {
                seen.isAborted = true;
            });
            if (typeof answer === "function") {
                await answer(consume);
            }
            else {
                answer.forEach(consume);
            }
        },
        issueTicket: () => "t1.x.y.z",
        stop: async () => {},
        [Symbol.asyncDispose]: async () => {},
    } satisfies Entry;
    return { app: createHttpApp({ entry, maxBodyBytes: 100 }), seen };
};
