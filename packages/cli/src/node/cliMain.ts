/**
 * Main module of `magnolialock`, the command line tool for operators.
 *
 * @packageDocumentation
 */

import "./commands/check.ts";
import "./commands/explain.ts";
import "./commands/timeline.ts";
import "./commands/rollout.ts";
import "./commands/status.ts";
import { runCommandLine, runProgram } from "@magnolialock/kernel";
import { commands } from "./command.ts";

await runProgram(() => runCommandLine({ programName: "magnolialock", commands }));
