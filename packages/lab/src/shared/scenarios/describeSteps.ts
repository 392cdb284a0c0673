/**
 * Reference page of the scenario language, generated from the registered steps.
 *
 * @packageDocumentation
 */

import "./steps/index.ts";
import { describePattern, steps } from "./step.ts";

const TITLES = { setting: "Settings", action: "Steps", expectation: "Expectations" } as const;

const INTRODUCTION = `# Scenario language

Each line holds one step. A step may start with \`at TIME\`; without it, the step runs at the time of the
previous one. Times have a unit (\`300 ms\`, \`3 s\`, \`2 min\`, \`1 h\`). \`#\` starts a comment. An expectation
without a time is checked at the end of the run. All nine promises are checked at the end of every run; no step is
needed for them.
`;

/**
 * Generates the reference page.
 *
 * @returns the page, in Markdown
 */
export const describeSteps = (): string => {
    const sections = Object.entries(TITLES).map(([kind, title]) => {
        const rows = steps.all()
            .filter(({ effect }) => effect.kind === kind)
            .map(step => `| \`${describePattern(step)}\` | ${step.description} |`);
        return `## ${title}\n\n| step | what it does |\n|---|---|\n${rows.join("\n")}\n`;
    });
    return [INTRODUCTION, ...sections].join("\n");
};
