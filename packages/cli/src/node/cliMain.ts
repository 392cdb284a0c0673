/**
 * Program `magnolialock`, the operators' command line.
 *
 * @packageDocumentation
 */

import "./commands/check.ts";
import "./commands/rollout.ts";
import "./commands/status.ts";
import { runCommandLine, runProgram } from "@magnolialock/kernel";
import { commands } from "./command.ts";

await runProgram(() => runCommandLine({ programName: "magnolialock", commands }));
