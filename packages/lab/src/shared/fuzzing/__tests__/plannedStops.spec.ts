import { holds } from "./_holds.ts";

holds(3, ["graceful-stop"], { isPlannedOnly: true });
