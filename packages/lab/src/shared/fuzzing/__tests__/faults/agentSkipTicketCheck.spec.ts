import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.skip-ticket-check", "at-most-once");
