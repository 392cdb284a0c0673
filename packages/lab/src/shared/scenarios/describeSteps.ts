/**
 * Reference page of the scenario language, made from the steps themselves.
 *
 * @packageDocumentation
 */

import "./steps/index.ts";
import { describePattern, steps } from "./step.ts";

const TITLES = { setting: "Settings", action: "Steps", expectation: "Expectations" } as const;

const INTRODUCTION = `# Scenario language

One step a line. A step may start with \`at TIME\`; without it, it happens at the time of the step before. Times carry a
unit (\`300 ms\`, \`3 s\`, \`2 min\`, \`1 h\`). \`#\` starts a comment. An expectation without a time looks at the end of the
run. All nine promises are checked at the end of every run, whether the file names them or not.
`;

/**
 * Writes the page.
 *
 * @returns the page, as Markdown
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
