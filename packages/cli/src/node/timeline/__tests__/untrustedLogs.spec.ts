import test from "ava";
import * as fc from "fast-check";
import { parseLogLine } from "../readLogs.ts";

const SEED = 17;
const VALID = {
    level: 30,
    time: 1_789_070_167_001,
    event: 8001,
    name: "direct.process.started",
    instance: "entry-1",
    counter: 0,
    callers: "10.1.0.18:8021",
};

test("no log line makes the reader fail", t => {
    t.is(parseLogLine(`12:00 entry-1 ${JSON.stringify(VALID)}`)?.instance, "entry-1");
    const value = fc.oneof(fc.jsonValue({ maxDepth: 4 }), fc.double(), fc.constantFrom(1e300, -1, "x"));
    const fields = fc.dictionary(fc.constantFrom(...Object.keys(VALID), "__proto__", "x"), value);
    const line = fc.oneof(
        fields.map(changes => JSON.stringify({ ...VALID, ...changes })),
        fc.string({ unit: "binary" }),
        fc.nat(300).map(length => JSON.stringify(VALID).slice(0, length)),
        fc.constantFrom(10, 100_000).map(depth => `{"level":${"[".repeat(depth)}${"]".repeat(depth)}}`),
        fc.constantFrom(10, 100_000).map(depth =>
            JSON.stringify({ ...VALID, x: "@" }).replace('"@"', "[".repeat(depth) + "]".repeat(depth))
        ),
    );
    fc.assert(
        fc.property(line, text => {
            const entry = parseLogLine(text);
            return entry === undefined || typeof entry.instance === "string";
        }),
        { seed: SEED, numRuns: 1_500 },
    );
});
