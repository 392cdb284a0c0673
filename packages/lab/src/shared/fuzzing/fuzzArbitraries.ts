/**
 * What the fuzzer draws: faults, operators' decisions and requests, in the words of the scenario language.
 *
 * @packageDocumentation
 */

import * as fc from "fast-check";
import { fleetEntryNames, fleetServers, type FleetShape } from "../fleet/fleetRules.ts";
import type { ScenarioWorld } from "../scenarios/scenarioWorld.ts";
import { FuzzCommand, type FuzzModel } from "./fuzzCommand.ts";

const LONG_MS = 4_000;
const SHORT_MS = 40;
const DEFAULT_MAX_COMMANDS = 40;

/** Groups of commands with the share of each. */
const drawSteps = (shape: FleetShape): fc.Arbitrary<string> => {
    const entry = fc.constantFrom(...fleetEntryNames(shape));
    const servers = fleetServers(shape);
    const server = fc.constantFrom(...servers.map(({ name }) => name));
    const plainServer = fc.constantFrom(
        ...servers.filter(({ service }) => service === shape.plainService).map(({ name }) => name),
    );
    const dataCentre = fc.constantFrom(...shape.dataCentres);
    const seconds = fc.integer({ min: 1, max: 9 });
    const request = fc.oneof(
        fc.tuple(fc.integer({ min: 1, max: 40 }), entry).map(([tokens, name]) =>
            `send draft <new request> of ${tokens} tokens through entry ${name}`
        ),
        entry.map(name => `send booking <new request> through entry ${name}`),
        entry.map(name => `send booking <new request> through entry ${name}`),
        entry.map(name => `send status read <new request> through entry ${name}`),
        entry.map(name => `retry <old request> through entry ${name}`),
        entry.map(name => `retry <old request> through entry ${name}`),
        fc.constant("let caller of <old request> give up"),
        fc.tuple(fc.integer({ min: 5, max: 40 }), seconds).map(([rate, length]) =>
            `send ${rate} drafts a second for ${length} s`
        ),
        fc.tuple(fc.integer({ min: 5, max: 30 }), seconds).map(([rate, length]) =>
            `send ${rate} bookings a second for ${length} s`
        ),
    );
    const decision = fc.oneof(
        dataCentre.map(name => `take data centre ${name} out`),
        dataCentre.map(name => `bring data centre ${name} back`),
        server.map(name => `drain server ${name}`),
        server.map(name => `bring server ${name} back`),
        fc.constant("publish the rules again"),
        fc.constant("publish rules with a mistake"),
    );
    const processFault = fc.oneof(
        fc.tuple(entry, seconds).map(([name, length]) => `pause entry ${name} for ${length} s`),
        fc.tuple(server, seconds).map(([name, length]) => `pause agent of server ${name} for ${length} s`),
        entry.map(name => `replace entry ${name}`),
        server.map(name => `replace agent of server ${name}`),
        plainServer.map(name => `replace agent of server ${name}`),
    );
    const serverFault = fc.oneof(
        server.map(name => `turn server ${name} cold`),
        server.map(name => `restart server ${name}`),
        fc.tuple(server, seconds).map(([name, length]) => `stall server ${name} for ${length} s`),
    );
    const surroundings = fc.oneof(
        dataCentre.map(name => `cut data centre ${name} off`),
        plainServer.map(name => `cut answers of server ${name} off`),
        fc.tuple(dataCentre, dataCentre).map(([from, to]) => `cut the way from ${from} to ${to}`),
        fc.constant("heal the network"),
        fc.constant("heal the network"),
        fc.constant("take the platform down"),
        fc.constant("turn the platform back to revision 1"),
        fc.constant("bring the platform up"),
        fc.constant("bring the platform up"),
        fc.constant("cross 30 percent of answers"),
    );
    return fc.oneof(
        { weight: 8, arbitrary: request },
        { weight: 3, arbitrary: decision },
        { weight: 2, arbitrary: processFault },
        { weight: 2, arbitrary: serverFault },
        { weight: 2, arbitrary: surroundings },
    );
};

/**
 * Draws runs of commands.
 *
 * @param fleet - name of the fleet
 * @param shape - its size
 * @returns the arbitrary for `asyncModelRun`
 */
export const fuzzCommands = (
    fleet: string,
    shape: FleetShape,
): fc.Arbitrary<Iterable<fc.AsyncCommand<FuzzModel, ScenarioWorld>>> => {
    const delayMs = fc.oneof(fc.integer({ min: 0, max: SHORT_MS }), fc.integer({ min: 0, max: LONG_MS }));
    const command = fc.tuple(delayMs, drawSteps(shape))
        .map(([delay, text]): fc.AsyncCommand<FuzzModel, ScenarioWorld> =>
            new FuzzCommand(fleet, { delayMs: delay, text })
        );
    return fc.commands([command], { maxCommands: DEFAULT_MAX_COMMANDS, size: "max" });
};
