import { holds } from "./_holds.ts";

holds(3, [], { isPlannedOnly: true });
holds(5, [], { isPlannedOnly: true });
