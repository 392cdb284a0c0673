import { runsScenarios } from "./_runsScenarios.ts";

runsScenarios(/^found-/);
