import { findsFault } from "../_findsFault.ts";

findsFault("agent.forget-journal", "at-most-once");
