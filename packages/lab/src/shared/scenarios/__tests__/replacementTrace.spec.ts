import { testScenarios } from "./_testScenarios.ts";

testScenarios(/^trace-(?!0|1[0-3])/);
