import { runsScenarios } from "./_runsScenarios.ts";

runsScenarios(/^trace-0[5-9]/);
