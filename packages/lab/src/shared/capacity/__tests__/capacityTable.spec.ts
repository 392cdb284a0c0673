import test from "ava";
import { readFileSync } from "node:fs";
import { PLANE_BYTES_PER_S, PROCESS_FIGURES } from "../capacityInputs.ts";
import { capacityLines, formatCapacityTable, planeBytesPerS } from "../capacityTable.ts";

const page = readFileSync("docs/CAPACITY.md", "utf8");

test("the page's table follows from its inputs", t => {
    t.true(
        page.includes(formatCapacityTable()),
        `paste this into docs/CAPACITY.md:\n${formatCapacityTable()}`,
    );
});

test("the page names every measured input", t => {
    const figures = [
        ...Object.entries(PLANE_BYTES_PER_S).map(([nodes, bytes]) => `| ${nodes} | ${bytes} |`),
        ...Object.entries(PROCESS_FIGURES).map(([role, { quietCpuPercent, cpuMsPerChange, rssMb }]) =>
            `| ${role} | ${quietCpuPercent} | ${cpuMsPerChange} | ${rssMb} |`
        ),
    ];
    t.deepEqual(figures.filter(figure => !page.includes(figure)), []);
});

test("the line goes through the measured ends", t => {
    const largest = Math.max(...Object.keys(PLANE_BYTES_PER_S).map(Number));
    t.is(planeBytesPerS(largest), Number(PLANE_BYTES_PER_S[largest]));
});

// Seen: memory of both roles, processor time of entries and today's reports of agents are over. See KNOWN-RED.txt.
test.failing("control of a node stays within its budget at the target size", t => {
    t.deepEqual(capacityLines().filter(({ value, budget }) => value > budget).map(({ what }) => what), []);
});
