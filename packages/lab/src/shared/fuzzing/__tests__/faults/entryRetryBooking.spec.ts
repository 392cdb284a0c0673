import { findsFault } from "../_findsFault.ts";

findsFault("entry.retry-booking", "at-most-once");
