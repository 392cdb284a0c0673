import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("entry.resume-off-by-one", "whole-answer");
