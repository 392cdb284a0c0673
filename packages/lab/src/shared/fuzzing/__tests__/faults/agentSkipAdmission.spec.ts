import { findsFault } from "../_findsFault.ts";

findsFault("agent.skip-admission", "cold-limit");
