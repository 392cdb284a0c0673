import { findsFault } from "../_findsFault.ts";

findsFault("entry.accept-crossed-answer", "whole-answer");
