import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("control.accept-lower-revision", "configuration");
