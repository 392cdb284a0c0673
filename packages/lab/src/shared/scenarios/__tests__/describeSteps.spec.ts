import test from "ava";
import { readFileSync } from "node:fs";
import { describeSteps } from "../describeSteps.ts";

test("the reference page matches the registered steps", t => {
    const page = new URL("../../../../../../docs/scenario-language.md", import.meta.url);
    t.is(readFileSync(page, "utf8"), describeSteps());
});
