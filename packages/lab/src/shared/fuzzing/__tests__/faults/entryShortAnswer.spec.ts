import { findsFault } from "../_findsFault.ts";

findsFault("entry.short-answer-normal-end", "whole-answer");
