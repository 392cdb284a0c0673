/**
 * Program `magnolialock-lab`: stand-ins, load and experiments.
 *
 * @packageDocumentation
 */

import "./commands/maps.ts";
import "./commands/standIn.ts";
import { runCommandLine, runProgram } from "@magnolialock/kernel";
import { labCommands } from "./labCommands.ts";

await runProgram(() => runCommandLine({ programName: "magnolialock-lab", commands: labCommands }));
