import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.skip-cold-limit", "cold-limit");
