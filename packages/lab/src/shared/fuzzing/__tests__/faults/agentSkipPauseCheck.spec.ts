import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.skip-pause-check", "cold-limit");
