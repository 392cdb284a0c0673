import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("entry.accept-crossed-answer", "whole-answer");
