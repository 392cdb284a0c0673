/**
 * Demo: a local fleet of two data centres serves a mix of calls while a data centre is taken out and comes back.
 */

import { apiKeyOf, type FleetShape } from "@magnolialock/lab";
import { setTimeout as delay } from "node:timers/promises";
import yargs from "yargs";
import { type LocalFleet, startLocalFleet } from "../shared/localFleet.ts";
import { Callers, type CallKind } from "./callers.ts";

const MIN_SECONDS = 6;
const MAX_SECONDS = 3_600;
const MAX_KEEP_MS = 24 * MAX_SECONDS * 1_000;

const SHAPE: FleetShape = {
    dataCentres: ["recife", "natal"],
    entriesPerDataCentre: 1,
    modelService: "redator",
    modelReplicas: 4,
    plainService: "painel",
    plainReplicas: 2,
    accounts: [
        { name: "padaria", weight: 1, ratePerS: 200 },
        { name: "farmacia", weight: 2, ratePerS: 200 },
    ],
    modelLimits: { cold: 2, warm: 16 },
    plainLimits: { cold: 2, warm: 16 },
};

const say = (text: string): void => void process.stdout.write(`${text}\n`);

/** Runs of each booking, as the plain services counted them; status reads may run twice. */
const countBookingRuns = async (fleet: LocalFleet): Promise<Map<string, number>> => {
    const totals = new Map<string, number>();
    const plain = fleet.backends.filter(({ server }) => server.service === SHAPE.plainService);
    for (const { url } of plain) {
        const counts = await (await fetch(`${url}/stand-in/runs?method=POST`)).json() as Record<
            string,
            number
        >;
        for (const [requestId, runs] of Object.entries(counts)) {
            totals.set(requestId, (totals.get(requestId) ?? 0) + runs);
        }
    }
    return totals;
};

const printProgress = (second: number, phase: string, callers: Callers): void => {
    const parts = (["draft", "status", "booking"] as const).map((kind: CallKind) => {
        const { whole, notRun, unknown, wrong } = callers.report[kind];
        return `${kind} ${whole} whole, ${notRun} not run, ${unknown + wrong} bad`;
    });
    say(`${String(second).padStart(4)} s  ${phase.padEnd(12)} ${parts.join("   ")}`);
};

const runPhases = async (
    fleet: LocalFleet,
    callers: Callers,
    seconds: number,
    signal: AbortSignal,
): Promise<void> => {
    const outAt = Math.floor(seconds / 3);
    const backAt = Math.floor((seconds * 2) / 3);
    let phase = "all in";
    for (let second = 1; second <= seconds && !signal.aborted; second++) {
        await delay(1_000, undefined, { signal }).catch(() => {});
        if (second === outAt) {
            phase = "recife out";
            say('      an operator adds the line "out recife # demo"');
            await fleet.publish({ out: ["recife"] });
        }
        if (second === backAt) {
            phase = "recife back";
            say("      an operator removes the line");
            await fleet.publish({});
        }
        printProgress(second, phase, callers);
    }
};

const summarize = async (fleet: LocalFleet, callers: Callers): Promise<boolean> => {
    const runs = await countBookingRuns(fleet);
    const kinds = Object.values(callers.report);
    const sum = (pick: (counts: typeof kinds[number]) => number): number =>
        kinds.reduce((total, counts) => total + pick(counts), 0);
    const repeated = [...runs].filter(([, count]) => count > 1).map(([requestId]) => requestId);
    const bad = sum(({ unknown, wrong }) => unknown + wrong);
    say("");
    say(`whole answers:        ${sum(({ whole }) => whole)}`);
    say(`refused as not run:   ${sum(({ notRun }) => notRun)}`);
    say(`lost, short or wrong: ${bad}`);
    say(`bookings run twice:   ${repeated.length}`);
    return bad === 0 && repeated.length === 0;
};

const printCurlLines = (fleet: LocalFleet): void => {
    const [entry] = fleet.entries;
    const key = apiKeyOf("padaria");
    say("\nThe fleet goes on; stop it with Ctrl-C. Try:");
    say(
        `  curl -N -H 'Authorization: Bearer ${key}' -d '{"prompt":"Hello","max_tokens":8,"stream":true}' `
            + `${entry?.url}/redator/v1/completions`,
    );
    say(`  curl -i -H 'Authorization: Bearer ${key}' -d 'three springs' ${entry?.url}/painel/bookings`);
};

const main = async (): Promise<number> => {
    const args = await yargs(process.argv.slice(2))
        .scriptName("npm run demo --")
        .option("seconds", { type: "number", default: 12, describe: "length of the run, from 6 seconds" })
        .option("keep", {
            type: "boolean",
            default: false,
            describe: "leave the fleet running and print curl lines",
        })
        .option("logs", { type: "boolean", default: false, describe: "show the processes' logs" })
        .strict()
        .parseAsync();
    if (!Number.isInteger(args.seconds) || args.seconds < MIN_SECONDS || args.seconds > MAX_SECONDS) {
        process.stderr.write(`--seconds: use a whole number from ${MIN_SECONDS} to ${MAX_SECONDS}\n`);
        return 2;
    }
    say("starting two data centres: recife and natal");
    const stopping = new AbortController();
    const stop = (): void => stopping.abort();
    process.once("SIGINT", stop);
    process.once("SIGTERM", stop);
    await using fleet = await startLocalFleet({ shape: SHAPE, seed: 1, showLogs: args.logs });
    say(`${fleet.processCount} processes are ready`);
    await delay(1_000);
    const callers = new Callers(fleet, SHAPE);
    const running = callers.run();
    await runPhases(fleet, callers, args.seconds, stopping.signal);
    await callers.stop();
    await running;
    const isGood = await summarize(fleet, callers);
    if (args.keep && !stopping.signal.aborted) {
        printCurlLines(fleet);
        await delay(MAX_KEEP_MS, undefined, { signal: stopping.signal }).catch(() => {});
    }
    say(isGood ? "the demo went well" : "the demo found failures");
    return isGood ? 0 : 1;
};

process.exitCode = await main();
