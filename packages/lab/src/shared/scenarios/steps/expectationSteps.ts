/**
 * Expectations. Without a time they are checked at the end of the run.
 *
 * @packageDocumentation
 */

import type { CallerAttempt, ExecutionStart, RequestKind } from "../../oracle/observations.ts";
import type { ScenarioWorld } from "../scenarioWorld.ts";
import { defineStep } from "../step.ts";

const PERCENT = 100;

const findStartsAfter = (
    world: ScenarioWorld,
    afterMs: number,
    isRelevant: (start: ExecutionStart) => boolean,
): string[] =>
    world.observe().starts
        .filter(start => isRelevant(start) && start.atMs > afterMs)
        .map(start => `${start.requestId} started on ${start.server} at ${Math.round(start.atMs)} ms`);

defineStep(
    "expect no new work in <dataCentre> after <afterMs>",
    "No request starts in the data centre after the given time.",
    {
        kind: "expectation",
        check: (world, { dataCentre, afterMs }) =>
            findStartsAfter(world, afterMs, start => start.dataCentre === dataCentre),
    },
);

defineStep(
    "expect no new work on server <server> after <afterMs>",
    "No request starts on the backend server after the given time.",
    {
        kind: "expectation",
        check: (world, { server, afterMs }) =>
            findStartsAfter(world, afterMs, start => start.server === server),
    },
);

defineStep(
    "expect new work in <dataCentre> after <afterMs>",
    "At least one request starts in the data centre after the given time.",
    {
        kind: "expectation",
        check: (world, { dataCentre, afterMs }) =>
            findStartsAfter(world, afterMs, start => start.dataCentre === dataCentre).length > 0
                ? []
                : [`no request started in ${dataCentre}`],
    },
);

const describeOutcome = (attempt: CallerAttempt | undefined): string => {
    const last = attempt?.events.at(-1);
    if (!attempt) {
        return "never sent";
    }
    if (last?.kind === "failed") {
        return `${last.ran} (${last.code})`;
    }
    return last?.kind === "end" ? "answered" : "incomplete";
};

const checkOutcome = (
    world: ScenarioWorld,
    request: string,
    isExpected: (outcome: string) => boolean,
): string[] => {
    const outcome = describeOutcome(world.callers.lastTry(request));
    return isExpected(outcome) ? [] : [`${request} is ${outcome}`];
};

defineStep("expect <request> answered", "The last try of the request got its complete answer.", {
    kind: "expectation",
    check: (world, { request }) => checkOutcome(world, request, outcome => outcome === "answered"),
});

defineStep("expect <request> not run", "The last try of the request was refused as not run.", {
    kind: "expectation",
    check: (world, { request }) => checkOutcome(world, request, outcome => outcome.startsWith("not run")),
});

defineStep("expect <request> outcome unknown", "The last try of the request ended as outcome unknown.", {
    kind: "expectation",
    check: (world, { request }) =>
        checkOutcome(world, request, outcome => outcome.startsWith("outcome unknown")),
});

defineStep(
    "expect <request> answered or not run",
    "The last try of the request was answered or refused as not run.",
    {
        kind: "expectation",
        check: (world, { request }) =>
            checkOutcome(world, request, outcome => outcome === "answered" || outcome.startsWith("not run")),
    },
);

defineStep(
    "expect <request> answered or outcome unknown",
    "The last try of the request was answered or ended as outcome unknown.",
    {
        kind: "expectation",
        check: (world, { request }) =>
            checkOutcome(
                world,
                request,
                outcome => outcome === "answered" || outcome.startsWith("outcome unknown"),
            ),
    },
);

const checkRunCount = (world: ScenarioWorld, request: string, count: number): string[] => {
    const runs = world.observe().starts.filter(start => start.requestId === request).length;
    return runs === count ? [] : [`${request} ran ${runs} times`];
};

defineStep("expect <request> ran once", "The backend servers ran the request exactly once.", {
    kind: "expectation",
    check: (world, { request }) => checkRunCount(world, request, 1),
});

defineStep("expect <request> never ran", "No backend server ran the request.", {
    kind: "expectation",
    check: (world, { request }) => checkRunCount(world, request, 0),
});

defineStep(
    "expect every process at revision <revision>",
    "Every process has this revision or a higher one in force.",
    {
        kind: "expectation",
        check: (world, { revision }) =>
            world.processRevisions()
                .filter(process => process.revision < revision)
                .map(process => `${process.name} has revision ${process.revision}`),
    },
);

interface AnsweredShare {
    readonly percent: number;
    readonly afterMs?: number;
    readonly untilMs?: number;
    readonly kind?: RequestKind;
}

const checkAnsweredShare = (world: ScenarioWorld, share: AnsweredShare): string[] => {
    const { afterMs = 0, untilMs = Number.POSITIVE_INFINITY, kind, percent } = share;
    const tries = world.callers.tries.filter(attempt =>
        attempt.sentMs >= afterMs && attempt.sentMs < untilMs
        && (kind === undefined || attempt.kind === kind)
    );
    const answered = tries.filter(attempt => attempt.events.at(-1)?.kind === "end").length;
    return tries.length > 0 && answered * PERCENT >= percent * tries.length
        ? []
        : [`${answered} of ${tries.length} requests were answered`];
};

defineStep("expect <percent> percent answered", "At least this percentage of all tries was answered.", {
    kind: "expectation",
    check: checkAnsweredShare,
});

defineStep(
    "expect <percent> percent answered from <afterMs> to <untilMs>",
    "At least this percentage of the tries sent in this period was answered.",
    {
        kind: "expectation",
        check: checkAnsweredShare,
    },
);

defineStep(
    "expect <percent> percent of bookings answered",
    "At least this percentage of the bookings was answered.",
    {
        kind: "expectation",
        check: (world, { percent }) => checkAnsweredShare(world, { percent, kind: "booking" }),
    },
);

defineStep(
    "expect <percent> percent of status reads answered",
    "At least this percentage of the status reads was answered.",
    {
        kind: "expectation",
        check: (world, { percent }) => checkAnsweredShare(world, { percent, kind: "status" }),
    },
);
