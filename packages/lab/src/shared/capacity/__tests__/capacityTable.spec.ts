import test from "ava";
import { readFileSync } from "node:fs";
import { CONTROL_PLANE_BYTES_PER_S, MEASURED_PROCESS_COSTS } from "../capacityInputs.ts";
import { computeCapacityRows, controlPlaneBytesPerS, formatCapacityTable } from "../capacityTable.ts";

const page = readFileSync("docs/CAPACITY.md", "utf8");

test("the table in docs/CAPACITY.md is the one computed from the inputs", t => {
    t.true(
        page.includes(formatCapacityTable()),
        `replace the table in docs/CAPACITY.md by:\n${formatCapacityTable()}`,
    );
});

test("docs/CAPACITY.md contains every measured input", t => {
    const figures = [
        ...Object.entries(CONTROL_PLANE_BYTES_PER_S).map(([nodes, bytes]) => `| ${nodes} | ${bytes} |`),
        ...Object.entries(MEASURED_PROCESS_COSTS).map(([role, { quietCpuPercent, cpuMsPerChange, rssMb }]) =>
            `| ${role} | ${quietCpuPercent} | ${cpuMsPerChange} | ${rssMb} |`
        ),
    ];
    t.deepEqual(figures.filter(figure => !page.includes(figure)), []);
});

test("the extrapolation passes through the largest measured fleet", t => {
    const largest = Math.max(...Object.keys(CONTROL_PLANE_BYTES_PER_S).map(Number));
    t.is(controlPlaneBytesPerS(largest), Number(CONTROL_PLANE_BYTES_PER_S[largest]));
});

// Over budget: the memory of both roles, the CPU of entries and the reports of agents to all entries. See
// KNOWN-RED.txt.
test.failing("control of a node stays within its budget at the target size", t => {
    t.deepEqual(
        computeCapacityRows().filter(({ value, budget }) => value > budget).map(({ quantity }) => quantity),
        [],
    );
});
