import { findsFault } from "../_findsFault.ts";

findsFault("agent.false-not-run", "true-not-run");
