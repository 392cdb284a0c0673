import { findsFault } from "../_findsFault.ts";

findsFault("agent.skip-drain-check", "leaving-server");
