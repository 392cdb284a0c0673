import { testScenarios } from "./_testScenarios.ts";

testScenarios(/^trace-1[0-2]/);
