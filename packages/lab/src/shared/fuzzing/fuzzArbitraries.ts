/**
 * Arbitraries of the fuzzer: faults, operators' decisions and requests, generated as steps of the scenario
 * language.
 *
 * @packageDocumentation
 */

import * as fc from "fast-check";
import { type FleetShape, listFleetEntryNames, listFleetServers } from "../fleet/fleetRules.ts";
import type { ScenarioWorld } from "../scenarios/scenarioWorld.ts";
import { FuzzCommand, type FuzzModel } from "./fuzzCommand.ts";

const LONG_DELAY_MS = 4_000;
const SHORT_DELAY_MS = 40;
const MAX_COMMANDS = 40;

/** Texts of steps that run at the same time. */
type Steps = readonly string[];

/** Names of the fleet's processes, servers and data centres, as arbitraries. */
interface FleetNames {
    readonly entry: fc.Arbitrary<string>;
    readonly server: fc.Arbitrary<string>;
    readonly plainServer: fc.Arbitrary<string>;
    readonly plainServers: Steps;
    readonly dataCentre: fc.Arbitrary<string>;
}

const nameArbitraries = (shape: FleetShape): FleetNames => {
    const servers = listFleetServers(shape);
    const plainServers = servers.filter(({ service }) => service === shape.plainService);
    return {
        entry: fc.constantFrom(...listFleetEntryNames(shape)),
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

const singleStep = (text: string): Steps => [text];

const drainStep = (server: fc.Arbitrary<string>): fc.Arbitrary<string> =>
    server.map(name => `drain server ${name}`);
const takeOutStep = (dataCentre: fc.Arbitrary<string>): fc.Arbitrary<string> =>
    dataCentre.map(name => `take data centre ${name} out`);

const requestSteps = ({ entry }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        fc.tuple(tokens, entry).map(([count, name]) =>
            singleStep(`send draft <new request> of ${count} tokens through entry ${name}`)
        ),
        {
            weight: 2,
            arbitrary: entry.map(name => singleStep(`send booking <new request> through entry ${name}`)),
        },
        entry.map(name => singleStep(`send status read <new request> through entry ${name}`)),
        { weight: 2, arbitrary: entry.map(name => singleStep(`retry <old request> through entry ${name}`)) },
        fc.constant(singleStep("let caller of <old request> give up")),
        fc.tuple(perSecond, seconds).map(([rate, length]) =>
            singleStep(`send ${rate} drafts a second for ${length} s`)
        ),
        fc.tuple(perSecond, seconds).map(([rate, length]) =>
            singleStep(`send ${rate} bookings a second for ${length} s`)
        ),
    );

const decisionSteps = ({ dataCentre, server }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        takeOutStep(dataCentre).map(singleStep),
        dataCentre.map(name => singleStep(`bring data centre ${name} back`)),
        drainStep(server).map(singleStep),
        server.map(name => singleStep(`bring server ${name} back`)),
        fc.constant(singleStep("publish the rules again")),
        fc.constant(singleStep("publish rules with a mistake")),
    );

const stopSteps = ({ entry, server, plainServer }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        entry.map(name => singleStep(`stop entry ${name}`)),
        server.map(name => singleStep(`stop agent of server ${name}`)),
        plainServer.map(name => singleStep(`stop agent of server ${name}`)),
    );

/** Pauses, some of them with changes that the process misses and must handle when it resumes. */
const pauseSteps = ({ entry, server, dataCentre }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        fc.tuple(entry, pauseSeconds).map(([name, length]) =>
            singleStep(`pause entry ${name} for ${length} s`)
        ),
        fc.tuple(server, pauseSeconds).map(([name, length]) =>
            singleStep(`pause agent of server ${name} for ${length} s`)
        ),
        fc.tuple(server, seconds).map(([name, length]) => [
            "send 40 drafts a second for 12 s",
            `pause agent of server ${name} for ${length} s`,
            `turn server ${name} cold`,
        ]),
        fc.tuple(entry, pauseSeconds, fc.oneof(drainStep(server), takeOutStep(dataCentre))).map((
            [name, length, decision],
        ) => [`pause entry ${name} for ${length} s`, "send 30 drafts a second for 5 s", decision]),
    );

const replacementSteps = ({ entry, server, plainServer, plainServers }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        entry.map(name => [
            ...plainServers.map(replaced => `replace agent of server ${replaced}`),
            `retry <old request> through entry ${name}`,
        ]),
        entry.map(name => singleStep(`replace entry ${name}`)),
        server.map(name => singleStep(`replace agent of server ${name}`)),
        plainServer.map(name => singleStep(`replace agent of server ${name}`)),
    );

const serverFaultSteps = ({ server }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        server.map(name => singleStep(`turn server ${name} cold`)),
        server.map(name => singleStep(`restart server ${name}`)),
        fc.tuple(server, seconds).map(([name, length]) => singleStep(`stall server ${name} for ${length} s`)),
    );

const environmentFaultSteps = ({ dataCentre, plainServer }: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        dataCentre.map(name => singleStep(`cut data centre ${name} off`)),
        plainServer.map(name => singleStep(`cut answers of server ${name} off`)),
        fc.tuple(dataCentre, dataCentre).map(([from, to]) => singleStep(`cut the way from ${from} to ${to}`)),
        { weight: 2, arbitrary: fc.constant(singleStep("heal the network")) },
        fc.constant(singleStep("take the platform down")),
        fc.constant(singleStep("turn the platform back to revision 1")),
        { weight: 2, arbitrary: fc.constant(singleStep("bring the platform up")) },
        fc.constant(singleStep("cross 30 percent of answers")),
    );

const plannedSteps = (names: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        { weight: 8, arbitrary: requestSteps(names) },
        { weight: 2, arbitrary: decisionSteps(names) },
        { weight: 2, arbitrary: stopSteps(names) },
    );

const allSteps = (names: FleetNames): fc.Arbitrary<Steps> =>
    fc.oneof(
        { weight: 16, arbitrary: requestSteps(names) },
        { weight: 8, arbitrary: decisionSteps(names) },
        { weight: 4, arbitrary: pauseSteps(names) },
        { weight: 3, arbitrary: replacementSteps(names) },
        { weight: 4, arbitrary: serverFaultSteps(names) },
        { weight: 4, arbitrary: environmentFaultSteps(names) },
    );

/**
 * Generates sequences of commands.
 *
 * @param fleet - name of the fleet
 * @param shape - size of the fleet
 * @param isPlannedOnly - whether to generate only requests and planned operator actions, no faults
 * @returns the arbitrary for `asyncModelRun`
 */
export const fuzzCommands = (
    fleet: string,
    shape: FleetShape,
    isPlannedOnly: boolean,
): fc.Arbitrary<Iterable<fc.AsyncCommand<FuzzModel, ScenarioWorld>>> => {
    const names = nameArbitraries(shape);
    const delayMs = fc.oneof(
        fc.integer({ min: 0, max: SHORT_DELAY_MS }),
        fc.integer({ min: 0, max: LONG_DELAY_MS }),
    );
    const command = fc.tuple(delayMs, isPlannedOnly ? plannedSteps(names) : allSteps(names))
        .map(([delay, texts]): fc.AsyncCommand<FuzzModel, ScenarioWorld> =>
            new FuzzCommand(fleet, { delayMs: delay, texts })
        );
    return fc.commands([command], { maxCommands: MAX_COMMANDS, size: "max" });
};
