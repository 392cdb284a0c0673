import { testNoViolations } from "./_testNoViolations.ts";

testNoViolations(3, [], { isPlannedOnly: true });
testNoViolations(5, [], { isPlannedOnly: true });
