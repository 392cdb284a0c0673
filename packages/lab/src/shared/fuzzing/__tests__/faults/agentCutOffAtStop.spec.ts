import { findsFault } from "../_findsFault.ts";

findsFault("agent.cut-off-at-stop", "graceful-stop", { isPlannedOnly: true });
