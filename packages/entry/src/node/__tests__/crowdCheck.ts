/** Test fixture: an entry of the own path beside a crowd, and ordinary requests beside it and after it. */

import { type Address, createSystemClock, sleep } from "@magnolialock/kernel";
import { askUntilServed, builtProgram } from "@magnolialock/test-support";
import type { ExecutionContext } from "ava";
import { KEY, startFleet } from "./entryFleet.ts";

const clock = createSystemClock();
/** Memory of the machine in the settings of the entry, in MB; the bound of its resident memory. */
const MEMORY_MB = 300;
const BYTES_PER_MB = 1_000_000;
/** Time for which a crowd sends before the ordinary request beside it, in milliseconds. */
const CROWD_MS = 3_000;
/** Time between two readings of the resident memory, in milliseconds. */
const SAMPLE_MS = 50;

/** A crowd that has begun to connect. */
interface StartedCrowd extends AsyncDisposable {
    /** Closes all its connections. */
    leave(): Promise<unknown>;
}

/** Sends an ordinary request until it is served; returns the last status or failure. */
const askOrdinary = (listen: string): Promise<number | string> =>
    askUntilServed(async signal => {
        const response = await fetch(`http://${listen}/painel/quick`, {
            headers: { authorization: `Bearer ${KEY}`, connection: "close" },
            signal,
        });
        await response.text();
        return response.status;
    });

/**
 * Checks that an entry outlasts a crowd, stays within its memory, and answers others.
 *
 * @param t - the test
 * @param start - starts the crowd at the addresses of an entry
 */
export const checkOutlasts = async (
    t: ExecutionContext,
    start: (fleet: { readonly listen: Address; readonly listenHttp2: Address; }) => Promise<StartedCrowd>,
): Promise<void> => {
    const program = await builtProgram("magnolialock-entry");
    await using fleet = await startFleet(10_000, ["--memory-mb", String(MEMORY_MB)], program);
    t.is(await askOrdinary(fleet.listen), 200);
    await using running = await start(fleet);
    let rssBytes = 0;
    const sample = async (): Promise<void> => {
        rssBytes = Math.max(rssBytes, await fleet.entry.rssBytes());
    };
    for (let ms = 0; ms < CROWD_MS && fleet.entry.isRunning; ms += SAMPLE_MS) {
        await sample();
        await sleep(clock, SAMPLE_MS);
    }
    const beside = await askOrdinary(fleet.listen);
    await sample();
    await running.leave();
    const after = await askOrdinary(fleet.listen);
    t.log(`${beside} beside, ${after} after; at most ${Math.round(rssBytes / BYTES_PER_MB)} MB`);
    t.true(fleet.entry.isRunning, fleet.entry.errors.slice(-2_000));
    t.true(rssBytes <= MEMORY_MB * BYTES_PER_MB, `${rssBytes} bytes`);
    t.is(beside, 200, "beside the crowd");
    t.is(after, 200, "after the crowd");
};
