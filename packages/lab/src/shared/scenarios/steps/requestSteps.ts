/**
 * Actions of callers.
 *
 * @packageDocumentation
 */

import type { RequestKind } from "../../oracle/observations.ts";
import type { ScenarioWorld } from "../scenarioWorld.ts";
import { defineStep } from "../step.ts";

const MILLISECONDS_PER_SECOND = 1_000;
const LOAD_DRAFT_TOKENS = 20;

defineStep(
    "send draft <request> of <tokens> tokens through entry <entry>",
    "Sends a draft request for this number of tokens.",
    {
        kind: "action",
        run: (world, { request, tokens, entry }) =>
            world.callers.send({ kind: "draft", requestId: request, tokens, entry }),
    },
);

defineStep("send booking <request> through entry <entry>", "Sends a booking request.", {
    kind: "action",
    run: (world, { request, entry }) => world.callers.send({ kind: "booking", requestId: request, entry }),
});

defineStep("send status read <request> through entry <entry>", "Sends a status read request.", {
    kind: "action",
    run: (world, { request, entry }) => world.callers.send({ kind: "status", requestId: request, entry }),
});

defineStep(
    "retry <request> through entry <entry>",
    "Sends the request again, with the ticket of its last try.",
    {
        kind: "action",
        run: (world, { request, entry }) => world.callers.retry(request, entry),
    },
);

defineStep("let caller of <request> give up", "The caller closes its connection.", {
    kind: "action",
    run: (world, { request }) => world.callers.giveUp(request),
});

interface Load {
    readonly kind: RequestKind;
    readonly perSecond: number;
    readonly durationMs: number;
}

/** Sends requests at a constant interval, to all entries and for all client accounts in turn. */
const sendLoad = (world: ScenarioWorld, { kind, perSecond, durationMs }: Load): void => {
    const startMs = world.nowMs;
    const intervalMs = MILLISECONDS_PER_SECOND / perSecond;
    const count = Math.floor(durationMs / intervalMs);
    for (let index = 0; index < count; index++) {
        world.fleet.clock.setTimer(index * intervalMs, () => {
            const entries = [...world.fleet.entries.keys()];
            const { accounts } = world.shape;
            world.callers.send({
                kind,
                requestId: `${kind}-${startMs}-${index + 1}`,
                tokens: LOAD_DRAFT_TOKENS,
                entry: entries[index % entries.length] as string,
                account: accounts[index % accounts.length]?.name,
            });
        });
    }
};

defineStep(
    "send <perSecond> drafts a second for <durationMs>",
    "Sends drafts of 20 tokens to all entries in turn.",
    {
        kind: "action",
        run: (world, args) => sendLoad(world, { ...args, kind: "draft" }),
    },
);

defineStep("send <perSecond> bookings a second for <durationMs>", "Sends bookings to all entries in turn.", {
    kind: "action",
    run: (world, args) => sendLoad(world, { ...args, kind: "booking" }),
});

defineStep(
    "send <perSecond> status reads a second for <durationMs>",
    "Sends status reads to all entries in turn.",
    {
        kind: "action",
        run: (world, args) => sendLoad(world, { ...args, kind: "status" }),
    },
);
