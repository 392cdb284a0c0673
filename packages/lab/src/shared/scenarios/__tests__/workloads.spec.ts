import { testScenarios } from "./_testScenarios.ts";

testScenarios(/^workload-/);
