import { findsFault } from "../_findsFault.ts";

findsFault("agent.skip-cold-limit", "cold-limit");
