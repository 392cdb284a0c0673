/**
 * Demo: a local fleet of two data centres serves a mix of calls while an operator takes one data centre out
 * of service and brings it back.
 */

import { apiKeyOf, type FleetShape } from "@magnolialock/lab";
import { setTimeout as delay } from "node:timers/promises";
import yargs from "yargs";
import { type LocalFleet, startLocalFleet } from "../shared/localFleet.ts";
import { type CallKind, LoadGenerator } from "./loadGenerator.ts";

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

const printLine = (text: string): void => void process.stdout.write(`${text}\n`);

/**
 * Counts the runs of each booking, as recorded by the plain backend servers. Only bookings must run at most
 * once; status reads may be repeated.
 */
const countBookingRuns = async (fleet: LocalFleet): Promise<Map<string, number>> => {
    const runsByRequest = new Map<string, number>();
    const plainBackends = fleet.backends.filter(({ server }) => server.service === SHAPE.plainService);
    for (const { url } of plainBackends) {
        const counts = await (await fetch(`${url}/stand-in/runs?method=POST`)).json() as Record<
            string,
            number
        >;
        for (const [requestId, runs] of Object.entries(counts)) {
            runsByRequest.set(requestId, (runsByRequest.get(requestId) ?? 0) + runs);
        }
    }
    return runsByRequest;
};

const printProgress = (second: number, phase: string, generator: LoadGenerator): void => {
    const parts = (["draft", "status", "booking"] as const).map((kind: CallKind) => {
        const { complete, notRun, unknown, incorrect } = generator.report[kind];
        return `${kind} ${complete} complete, ${notRun} not run, ${unknown + incorrect} failed`;
    });
    printLine(`${String(second).padStart(4)} s  ${phase.padEnd(12)} ${parts.join("   ")}`);
};

const runPhases = async (
    fleet: LocalFleet,
    generator: LoadGenerator,
    seconds: number,
    signal: AbortSignal,
): Promise<void> => {
    const takeOutSecond = Math.floor(seconds / 3);
    const bringBackSecond = Math.floor((seconds * 2) / 3);
    let phase = "all serving";
    for (let second = 1; second <= seconds && !signal.aborted; second++) {
        await delay(1_000, undefined, { signal }).catch(() => {});
        if (second === takeOutSecond) {
            phase = "recife out";
            printLine('      an operator adds the line "out recife # demo"');
            await fleet.publish({ out: ["recife"] });
        }
        if (second === bringBackSecond) {
            phase = "recife back";
            printLine("      an operator removes the line");
            await fleet.publish({});
        }
        printProgress(second, phase, generator);
    }
};

const summarize = async (fleet: LocalFleet, generator: LoadGenerator): Promise<boolean> => {
    const runsByRequest = await countBookingRuns(fleet);
    const countsByKind = Object.values(generator.report);
    const sum = (selectCount: (counts: typeof countsByKind[number]) => number): number =>
        countsByKind.reduce((total, counts) => total + selectCount(counts), 0);
    const repeatedBookings = [...runsByRequest].filter(([, count]) => count > 1).map(([requestId]) =>
        requestId
    );
    const failures = sum(({ unknown, incorrect }) => unknown + incorrect);
    printLine("");
    printLine(`complete responses:           ${sum(({ complete }) => complete)}`);
    printLine(`failed, not run:              ${sum(({ notRun }) => notRun)}`);
    printLine(`unknown outcome or incorrect: ${failures}`);
    printLine(`bookings run more than once:  ${repeatedBookings.length}`);
    return failures === 0 && repeatedBookings.length === 0;
};

const printCurlCommands = (fleet: LocalFleet): void => {
    const [entry] = fleet.entries;
    const key = apiKeyOf("padaria");
    printLine("\nThe fleet keeps running; stop it with Ctrl-C. Try:");
    printLine(
        `  curl -N -H 'Authorization: Bearer ${key}' -d '{"prompt":"Hello","max_tokens":8,"stream":true}' `
            + `${entry?.url}/redator/v1/completions`,
    );
    printLine(`  curl -i -H 'Authorization: Bearer ${key}' -d 'three springs' ${entry?.url}/painel/bookings`);
    printLine(`  node dist/magnolialock.js status --peers ${entry?.controlAddress}`);
};

const main = async (): Promise<number> => {
    const args = await yargs(process.argv.slice(2))
        .scriptName("npm run demo --")
        .option("seconds", {
            type: "number",
            default: 12,
            describe: "duration of the run in seconds, at least 6",
        })
        .option("keep", {
            type: "boolean",
            default: false,
            describe: "keep the fleet running afterwards and print curl commands",
        })
        .option("logs", { type: "boolean", default: false, describe: "show the logs of the processes" })
        .strict()
        .parseAsync();
    if (!Number.isInteger(args.seconds) || args.seconds < MIN_SECONDS || args.seconds > MAX_SECONDS) {
        process.stderr.write(`--seconds: expected a whole number from ${MIN_SECONDS} to ${MAX_SECONDS}\n`);
        return 2;
    }
    printLine("starting a fleet in two data centres: recife and natal");
    const stopController = new AbortController();
    const stop = (): void => stopController.abort();
    process.once("SIGINT", stop);
    process.once("SIGTERM", stop);
    await using fleet = await startLocalFleet({ shape: SHAPE, seed: 1, showLogs: args.logs });
    printLine(`${fleet.processCount} processes are ready`);
    await delay(1_000);
    const generator = new LoadGenerator(fleet, SHAPE);
    const sending = generator.run();
    await runPhases(fleet, generator, args.seconds, stopController.signal);
    await generator.stop();
    await sending;
    const isSuccessful = await summarize(fleet, generator);
    if (args.keep && !stopController.signal.aborted) {
        printCurlCommands(fleet);
        await delay(MAX_KEEP_MS, undefined, { signal: stopController.signal }).catch(() => {});
    }
    printLine(isSuccessful ? "the demo completed without failures" : "the demo found failures");
    return isSuccessful ? 0 : 1;
};

process.exitCode = await main();
