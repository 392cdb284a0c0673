import { findsFault } from "../_findsFault.ts";

findsFault("agent.skip-pause-check", "cold-limit");
