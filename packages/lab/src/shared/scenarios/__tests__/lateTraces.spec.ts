import { runsScenarios } from "./_runsScenarios.ts";

runsScenarios(/^trace-1[0-2]/);
