/**
 * What the fuzzer draws: faults, operators' decisions and requests, in the words of the scenario language.
 *
 * @packageDocumentation
 */

import * as fc from "fast-check";
import { fleetEntryNames, fleetServers, type FleetShape } from "../fleet/fleetRules.ts";
import type { ScenarioWorld } from "../scenarios/scenarioWorld.ts";
import { FuzzCommand, type FuzzModel } from "./fuzzCommand.ts";

const LONG_DELAY_MS = 4_000;
const SHORT_DELAY_MS = 40;
const MAX_COMMANDS = 40;

/** Steps that are taken at one time. */
type Steps = readonly string[];

/** Names of the fleet, to draw from. */
interface FleetNames {
    readonly entry: fc.Arbitrary<string>;
    readonly server: fc.Arbitrary<string>;
    readonly plainServer: fc.Arbitrary<string>;
    readonly plainServers: Steps;
    readonly dataCentre: fc.Arbitrary<string>;
}

const drawNames = (shape: FleetShape): FleetNames => {
    const servers = fleetServers(shape);
    const plainServers = servers.filter(({ service }) => service === shape.plainService);
    return {
        entry: fc.constantFrom(...fleetEntryNames(shape)),
        server: fc.constantFrom(...servers.map(({ name }) => name)),
        plainServer: fc.constantFrom(...plainServers.map(({ name }) => name)),
        plainServers: plainServers.map(({ name }) => name),
        dataCentre: fc.constantFrom(...shape.dataCentres),
    };
};

const seconds = fc.integer({ min: 1, max: 9 });
const pauseSeconds = fc.integer({ min: 2, max: 15 });
const perSecond = fc.integer({ min: 5, max: 40 });
const tokens = fc.integer({ min: 1, max: 40 });

const one = (text: string): Steps => [text];

const drainOf = (server: fc.Arbitrary<string>): fc.Arbitrary<string> =>
    server.map(name => `drain server ${name}`);
const outOf = (dataCentre: fc.Arbitrary<string>): fc.Arbitrary<string> =>
    dataCentre.map(name => `take data centre ${name} out`);

const drawRequests = ({ entry }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        fc.tuple(tokens, entry).map(([count, name]) =>
            one(`send draft <new request> of ${count} tokens through entry ${name}`)
        ),
        { weight: 2, arbitrary: entry.map(name => one(`send booking <new request> through entry ${name}`)) },
        entry.map(name => one(`send status read <new request> through entry ${name}`)),
        { weight: 2, arbitrary: entry.map(name => one(`retry <old request> through entry ${name}`)) },
        fc.constant(one("let caller of <old request> give up")),
        fc.tuple(perSecond, seconds).map(([rate, length]) =>
            one(`send ${rate} drafts a second for ${length} s`)
        ),
        fc.tuple(perSecond, seconds).map(([rate, length]) =>
            one(`send ${rate} bookings a second for ${length} s`)
        ),
    );

const drawDecisions = ({ dataCentre, server }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        outOf(dataCentre).map(one),
        dataCentre.map(name => one(`bring data centre ${name} back`)),
        drainOf(server).map(one),
        server.map(name => one(`bring server ${name} back`)),
        fc.constant(one("publish the rules again")),
        fc.constant(one("publish rules with a mistake")),
    );

const drawStops = ({ entry, server, plainServer }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        entry.map(name => one(`stop entry ${name}`)),
        server.map(name => one(`stop agent of server ${name}`)),
        plainServer.map(name => one(`stop agent of server ${name}`)),
    );

/** Pauses; a process that wakes late acts on what has changed meanwhile. */
const drawPauses = ({ entry, server, dataCentre }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        fc.tuple(entry, pauseSeconds).map(([name, length]) => one(`pause entry ${name} for ${length} s`)),
        fc.tuple(server, pauseSeconds).map(([name, length]) =>
            one(`pause agent of server ${name} for ${length} s`)
        ),
        fc.tuple(server, seconds).map(([name, length]) => [
            "send 40 drafts a second for 12 s",
            `pause agent of server ${name} for ${length} s`,
            `turn server ${name} cold`,
        ]),
        fc.tuple(entry, pauseSeconds, fc.oneof(drainOf(server), outOf(dataCentre))).map((
            [name, length, decision],
        ) => [`pause entry ${name} for ${length} s`, "send 30 drafts a second for 5 s", decision]),
    );

const drawReplacements = ({ entry, server, plainServer, plainServers }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        entry.map(name => [
            ...plainServers.map(replaced => `replace agent of server ${replaced}`),
            `retry <old request> through entry ${name}`,
        ]),
        entry.map(name => one(`replace entry ${name}`)),
        server.map(name => one(`replace agent of server ${name}`)),
        plainServer.map(name => one(`replace agent of server ${name}`)),
    );

const drawServerFaults = ({ server }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        server.map(name => one(`turn server ${name} cold`)),
        server.map(name => one(`restart server ${name}`)),
        fc.tuple(server, seconds).map(([name, length]) => one(`stall server ${name} for ${length} s`)),
    );

const drawSurroundings = ({ dataCentre, plainServer }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        dataCentre.map(name => one(`cut data centre ${name} off`)),
        plainServer.map(name => one(`cut answers of server ${name} off`)),
        fc.tuple(dataCentre, dataCentre).map(([from, to]) => one(`cut the way from ${from} to ${to}`)),
        { weight: 2, arbitrary: fc.constant(one("heal the network")) },
        fc.constant(one("take the platform down")),
        fc.constant(one("turn the platform back to revision 1")),
        { weight: 2, arbitrary: fc.constant(one("bring the platform up")) },
        fc.constant(one("cross 30 percent of answers")),
    );

const drawPlannedSteps = (names: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        { weight: 8, arbitrary: drawRequests(names) },
        { weight: 2, arbitrary: drawDecisions(names) },
        { weight: 2, arbitrary: drawStops(names) },
    );

const drawAllSteps = (names: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        { weight: 16, arbitrary: drawRequests(names) },
        { weight: 8, arbitrary: drawDecisions(names) },
        { weight: 4, arbitrary: drawPauses(names) },
        { weight: 3, arbitrary: drawReplacements(names) },
        { weight: 4, arbitrary: drawServerFaults(names) },
        { weight: 4, arbitrary: drawSurroundings(names) },
    );

/**
 * Draws runs of commands.
 *
 * @param fleet - name of the fleet
 * @param shape - its size
 * @param isPlannedOnly - whether to draw only what operators plan, no faults
 * @returns the arbitrary for `asyncModelRun`
 */
export const fuzzCommands = (
    fleet: string,
    shape: FleetShape,
    isPlannedOnly: boolean,
): fc.Arbitrary<Iterable<fc.AsyncCommand<FuzzModel, ScenarioWorld>>> => {
    const names = drawNames(shape);
    const delayMs = fc.oneof(
        fc.integer({ min: 0, max: SHORT_DELAY_MS }),
        fc.integer({ min: 0, max: LONG_DELAY_MS }),
    );
    const command = fc.tuple(delayMs, isPlannedOnly ? drawPlannedSteps(names) : drawAllSteps(names))
        .map(([delay, texts]): fc.AsyncCommand<FuzzModel, ScenarioWorld> =>
            new FuzzCommand(fleet, { delayMs: delay, texts })
        );
    return fc.commands([command], { maxCommands: MAX_COMMANDS, size: "max" });
};
