import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("entry.short-answer-normal-end", "whole-answer");
