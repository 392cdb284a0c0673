/**
 * Command `stand-in`: runs a stand-in server as a process of its own.
 *
 * @packageDocumentation
 */

import { listenHttp } from "@magnolialock/entry";
import {
    createRandomSource,
    createSystemClock,
    ExitCode,
    parseAddress,
    waitForStopSignal,
} from "@magnolialock/kernel";
import type { Hono } from "hono";
import { match } from "ts-pattern";
import { EngineOrders } from "../../shared/standIns/engineOrders.ts";
import { SimulatedEngine } from "../../shared/standIns/simulatedEngine.ts";
import { SimulatedPlainService } from "../../shared/standIns/simulatedPlainService.ts";
import { SimulatedPlatform } from "../../shared/standIns/simulatedPlatform.ts";
import { labCommands } from "../labCommands.ts";
import { createEngineServer } from "../standIns/engineServer.ts";
import { createPlainServer } from "../standIns/plainServer.ts";
import { createPlatformServer } from "../standIns/platformServer.ts";

const STAND_INS = ["engine", "plain", "platform"] as const;

interface StandInOptions {
    readonly seed: number;
    readonly cold: number;
    readonly warm: number;
    readonly startCold: boolean;
    readonly honoursFencing: boolean;
}

const createApp = (kind: typeof STAND_INS[number], options: StandInOptions): Hono => {
    const clock = createSystemClock();
    const random = createRandomSource(options.seed);
    return match(kind)
        .with("engine", () =>
            createEngineServer(
                new SimulatedEngine({
                    clock,
                    random,
                    coldLimit: options.cold,
                    warmLimit: options.warm,
                    startsWarm: !options.startCold,
                }),
                new EngineOrders({ honoursFencing: options.honoursFencing }),
            ))
        .with(
            "plain",
            () => createPlainServer(new SimulatedPlainService({ clock, random, isCold: options.startCold })),
        )
        .with("platform", () => createPlatformServer(new SimulatedPlatform({ clock })))
        .exhaustive();
};

/** Runs a stand-in server until the process receives a stop signal. */
export const standInCommand = labCommands.register({
    name: "stand-in",
    usage: "stand-in <kind>",
    description: "Run a stand-in server of a model engine, a plain service or the platform",
    builder: yargs =>
        yargs
            .positional("kind", { choices: STAND_INS, demandOption: true, describe: "kind of server" })
            .option("listen", { type: "string", demandOption: true, describe: "address to listen on" })
            .option("seed", { type: "number", default: 1, describe: "seed of the random numbers" })
            .option("cold", {
                type: "number",
                default: 2,
                describe: "concurrent calls that a cold engine can serve",
            })
            .option("warm", {
                type: "number",
                default: 16,
                describe: "concurrent calls that a warm engine can serve",
            })
            .option("start-cold", { type: "boolean", default: false, describe: "start cold" })
            .option("fencing", {
                type: "boolean",
                default: true,
                describe: "refuse orders with an outdated fencing token (engine only)",
            }),
    run: async args => {
        const app = createApp(args["kind"] as typeof STAND_INS[number], {
            seed: Number(args["seed"]),
            cold: Number(args["cold"]),
            warm: Number(args["warm"]),
            startCold: Boolean(args["startCold"]),
            honoursFencing: Boolean(args["fencing"]),
        });
        await using _listener = await listenHttp({
            app,
            address: parseAddress(String(args["listen"])),
            protocol: "http1",
        });
        await waitForStopSignal();
        return ExitCode.Success;
    },
});
