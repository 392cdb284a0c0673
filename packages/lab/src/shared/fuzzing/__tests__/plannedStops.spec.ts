import { holds } from "./_holds.ts";

holds(3, [], { isPlannedOnly: true });
