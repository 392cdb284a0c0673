import { findsFault } from "../_findsFault.ts";

findsFault("agent.skip-ticket-check", "at-most-once");
