import { findsFault } from "../_findsFault.ts";

findsFault("control.accept-lower-revision", "configuration");
