/** Himal and Sherba as the fake replays them, and decisions with and without the timing of the engine. */

import { branded, type DataCentreId, EventLog, type ServiceName } from "@magnolialock/kernel";
import type { EngineTiming } from "../../../types/publishedState.ts";
import { type ChoiceContext, chooseServer } from "../../chooseServer.ts";
import type { TrackedServer } from "../../trackedServer.ts";
import { PassBudget } from "../passBudget.ts";
import { placementLoad } from "../placementLoad.ts";
import type { FakeEntryView, FakeOptions, FakePolicy } from "./fakeTypes.ts";

/** The usual answers follow from 188 and 167 requests/s at 504 busy slots. */
const HIMAL_TIMING: EngineTiming = {
    stepMs: 5.85,
    perRequestMs: 0.61,
    perThousandContextMs: 0.062,
    readTokensPerMs: 61.2,
    perMillionPairsMs: 0,
    readTokensPerStep: 512,
    stepsPerPass: 6,
    memoryTokens: 60_000,
    usualPromptTokens: 835,
    usualAnswerTokens: 150,
};

const SHERBA_TIMING: EngineTiming = {
    ...HIMAL_TIMING,
    stepMs: 4.84,
    perRequestMs: 0.62,
    perThousandContextMs: 0.019,
    readTokensPerMs: 74.8,
    stepsPerPass: 7,
    usualAnswerTokens: 180,
};

export type FakeDeployment = Pick<FakeOptions, "timing" | "kinds" | "groups" | "ranks" | "slots">;

export const HIMAL: FakeDeployment = {
    timing: HIMAL_TIMING,
    groups: 3,
    ranks: 24,
    slots: 7,
    kinds: [
        {
            name: "fault-explain",
            priority: 0,
            targetMs: 403,
            share: 0.455,
            meanPrompt: 714,
            worth: [3.1, 0.3],
        },
        { name: "alert-digest", priority: 1, targetMs: 403, share: 0.2, meanPrompt: 827, worth: [1.6, 0.4] },
        {
            name: "season-report",
            priority: 2,
            targetMs: 1_003,
            share: 0.345,
            meanPrompt: 1_000,
            worth: [0.81, 0.31],
        },
    ],
};

export const SHERBA: FakeDeployment = {
    timing: SHERBA_TIMING,
    groups: 1,
    ranks: 72,
    slots: 7,
    kinds: [
        { name: "label-short", priority: 1, targetMs: 403, share: 0.453, meanPrompt: 714, worth: [2, 0.49] },
        { name: "desc-mid", priority: 1, targetMs: 403, share: 0.2, meanPrompt: 827, worth: [2, 0.5] },
        { name: "note-long", priority: 1, targetMs: 403, share: 0.347, meanPrompt: 1_000, worth: [2, 0.51] },
    ],
};

/** Inputs of the choice of a server without rate limits. */
export const choiceContext = ({ random }: Pick<FakeEntryView, "random">): ChoiceContext => ({
    dataCentre: branded<DataCentreId>("here"),
    random,
    maxStartsPerS: () => Number.POSITIVE_INFINITY,
    isWithinLimit: () => true,
    isLimitCheckDue: () => false,
    tried: new Set(),
    spread: undefined,
});

/** Decisions without the timing of the engine: all slots, and the server with the fewest requests. */
export const requestsOnly = (entry: FakeEntryView): FakePolicy => ({
    servable: () => entry.servers.reduce((sum, server) => sum + server.entry.slots, 0),
    choose: () => chooseServer(entry.servers, choiceContext(entry), false),
});

export const TARGET_GAP_MS = 120;

/** The pass budget of an entry of the fake. */
export const createBudget = (entry: FakeEntryView, timing: EngineTiming): PassBudget =>
    new PassBudget({
        clock: entry.clock,
        events: new EventLog({ clock: entry.clock, instance: "entry" }),
        service: branded<ServiceName>("drafts"),
        limits: () => ({ timing, targetGapMs: TARGET_GAP_MS }),
        servers: () => entry.servers,
    });

/** Mean duration of a stream and time between reports, in milliseconds. */
const MEAN_RUN_MS = 2_200;
const REPORT_AGE_MS = 400;

/** Decisions with the timing of the engine: pass budget, and requests spread over the servers. */
export const withTiming = ({ timing }: FakeDeployment) => (entry: FakeEntryView): FakePolicy => {
    const budget = createBudget(entry, timing);
    const { servers } = entry;
    return {
        servable: () => servers.reduce((sum, server) => sum + budget.requestsOf(server), 0),
        choose: () => {
            const peerRunning = servers.reduce((sum, server) => sum + server.peerRunning, 0);
            const spread = {
                expectedStarts: peerRunning * REPORT_AGE_MS / MEAN_RUN_MS,
                excessOf: (server: TrackedServer): number =>
                    placementLoad(server, budget.requestsOf(server), timing),
            };
            return chooseServer(servers, { ...choiceContext(entry), spread }, false);
        },
        onSent: ({ prompt }, server) => {
            budget.recordPrompt(prompt);
            server.unreadPromptTokens += prompt;
        },
        onFirstEvent: ({ prompt }, server) => {
            server.unreadPromptTokens -= prompt;
        },
        onPause: ({ groupName }, pauseMs) => budget.recordPause(groupName, pauseMs),
    };
};
