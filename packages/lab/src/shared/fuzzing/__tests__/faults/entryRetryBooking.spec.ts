import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("entry.retry-booking", "at-most-once");
