import { findsFault } from "../_findsFault.ts";

findsFault("control.adopt-rejected", "configuration");
