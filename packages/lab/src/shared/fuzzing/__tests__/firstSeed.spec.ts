import { testNoViolations } from "./_testNoViolations.ts";

testNoViolations(1, []);
