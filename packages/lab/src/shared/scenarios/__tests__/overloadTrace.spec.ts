import { testScenarios } from "./_testScenarios.ts";

testScenarios(/^trace-13/);
