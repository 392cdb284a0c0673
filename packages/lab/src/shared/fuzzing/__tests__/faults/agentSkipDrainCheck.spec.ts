import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.skip-drain-check", "data-centre-out");
