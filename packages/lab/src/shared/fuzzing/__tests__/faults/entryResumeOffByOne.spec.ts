import { findsFault } from "../_findsFault.ts";

findsFault("entry.resume-off-by-one", "whole-answer");
