import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.skip-drain-check", "leaving-server");
