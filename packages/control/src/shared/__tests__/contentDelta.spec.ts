import test from "ava";
import fc from "fast-check";
import { applyDelta, diffContent, estimateDeltaBytes } from "../contentDelta.ts";

const MAX_BYTES = 1_048_576;
const FAST_CHECK_SEED = 4;

test("a delta applied to the old content yields the new content", t => {
    const line = fc.constantFrom("a\n", "b\n", "c # ana\n", "\n", "long line of text # ana\n", "no end");
    const content = fc.array(line, { maxLength: 30 }).map(lines => Buffer.from(lines.join("")));
    fc.assert(
        fc.property(content, content, (oldBytes, newBytes) => {
            t.deepEqual([...applyDelta(oldBytes, diffContent(oldBytes, newBytes), MAX_BYTES)], [...newBytes]);
        }),
        { seed: FAST_CHECK_SEED, numRuns: 500 },
    );
});

const lines = Array.from({ length: 5_000 }, (_, index) => `server s-${index} # asked for by ana\n`);

test("a change of two distant lines yields a small delta", t => {
    const changed = lines.with(3, "drain s-3 # ana\n").with(4_990, "drain s-4990 # ana\n");
    const steps = diffContent(Buffer.from(lines.join("")), Buffer.from(changed.join("")));
    t.true(estimateDeltaBytes(steps) < 200);
});

test("moved lines are copied, not inserted", t => {
    const steps = diffContent(Buffer.from(lines.join("")), Buffer.from([...lines].reverse().join("")));
    t.false(steps.some(({ kind }) => kind === "insert"));
});

test("a delta that copies outside the old content or exceeds the maximum size is refused", t => {
    const outside = [{ kind: "copy", offset: 5, length: 10 }] as const;
    t.throws(() => applyDelta(Buffer.from("short"), outside, MAX_BYTES), {
        message: /outside the old content/,
    });
    const twice = [{ kind: "copy", offset: 0, length: 5 }, { kind: "copy", offset: 0, length: 5 }] as const;
    t.throws(() => applyDelta(Buffer.from("short"), twice, 9), { message: /exceeds the maximum of 9 bytes/ });
});
