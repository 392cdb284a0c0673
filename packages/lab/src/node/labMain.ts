/**
 * Program `magnolialock-lab`: experiments, fuzzing, scenarios and stand-in servers.
 *
 * @packageDocumentation
 */

import "./commands/fuzz.ts";
import "./commands/report.ts";
import "./commands/run.ts";
import "./commands/rollout.ts";
import "./commands/maps.ts";
import "./commands/outage.ts";
import "./commands/overload.ts";
import "./commands/rollout.ts";
import "./commands/standIn.ts";
import { runCommandLine, runProgram } from "@magnolialock/kernel";
import { labCommands } from "./labCommands.ts";

await runProgram(() => runCommandLine({ programName: "magnolialock-lab", commands: labCommands }));
