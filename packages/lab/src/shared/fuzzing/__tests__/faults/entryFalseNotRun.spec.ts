import { findsFault } from "../_findsFault.ts";

findsFault("entry.false-not-run", "true-not-run");
