import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.false-not-run", "true-not-run");
