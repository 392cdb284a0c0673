import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("control.adopt-rejected", "configuration");
