import { runsScenarios } from "./_runsScenarios.ts";

runsScenarios(/^trace-(?!0|1[0-3])/);
