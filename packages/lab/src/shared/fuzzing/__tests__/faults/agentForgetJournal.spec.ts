import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.forget-journal", "at-most-once");
