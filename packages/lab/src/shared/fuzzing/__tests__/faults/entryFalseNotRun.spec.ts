import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("entry.false-not-run", "true-not-run");
