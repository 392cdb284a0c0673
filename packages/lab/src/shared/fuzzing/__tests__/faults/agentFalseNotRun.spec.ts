import { findsFault } from "../_findsFault.ts";

findsFault("agent.false-not-run", "at-most-once");
