import { testScenarios } from "./_testScenarios.ts";

testScenarios(/^trace-0[5-9]/);
