import { testFaultIsFound } from "../_testFaultIsFound.ts";

testFaultIsFound("agent.cut-off-at-stop", "graceful-stop", { isPlannedOnly: true });
