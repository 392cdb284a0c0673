import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.skip-admission", "cold-limit");
