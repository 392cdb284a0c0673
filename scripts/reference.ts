/**
 * Writes the reference pages that follow from the code; with `--check` it only tells whether they are up to date.
 */

import { agentProgram } from "@magnolialock/agent";
import "@magnolialock/control";
import "@magnolialock/direct";
import { entryProgram } from "@magnolialock/entry";
import {
    environmentVariable,
    eventCatalogue,
    type Setting,
    type SettingDefinitions,
    type SettingsProgram,
} from "@magnolialock/kernel";
import "@magnolialock/lab";
import "@magnolialock/maps";
import { platformEntryProgram, platformRankProgram } from "@magnolialock/platform";
import "@magnolialock/rank";
import { type FieldDefinition, type RuleKind, ruleKinds } from "@magnolialock/rules";
import { readFile, writeFile } from "node:fs/promises";

const GENERATED = "This page follows from the code: `npm run reference` writes it, and CI checks it.";

const table = (head: readonly string[], rows: readonly (readonly string[])[]): string[] => {
    const line = (cells: readonly string[]): string =>
        `| ${cells.map(cell => cell.replaceAll("|", "\\|")).join(" | ")} |`;
    return [line(head), line(head.map(() => "---")), ...rows.map(line)];
};

const eventsPage = (): string[] => [
    "# Events",
    "",
    GENERATED,
    "Logs and the time line show events as `E` and the number. Numbers 1000 to 1999 come from the control plane,",
    "2000 to 2999 from agents, 3000 to 3999 from entries, 4000 to 4999 from expert maps, 5000 to 5999 from the lab,",
    "8000 to 8999 from direct entries, 9000 to 9999 from rank agents.",
    "",
    ...table(
        ["number", "name", "level", "meaning"],
        eventCatalogue().map((
            { number, name, level, summary },
        ) => [`E${number}`, `\`${name}\``, level, summary]),
    ),
];

const kebabCase = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

const defaultOf = (setting: Setting<unknown>): string => {
    if (setting.isRequired) {
        return "required";
    }
    const { defaultValue } = setting;
    const isEmpty = defaultValue === undefined || (Array.isArray(defaultValue) && defaultValue.length === 0);
    return isEmpty ? "none" : `\`${String(defaultValue)}\``;
};

const programSection = (program: SettingsProgram<SettingDefinitions>): string[] => [
    `## ${program.programName}`,
    "",
    program.description,
    "",
    ...table(
        ["flag", "variable", "default", "meaning"],
        Object.entries(program.definitions).map(([name, setting]) => [
            `\`--${kebabCase(name)}\``,
            `\`${environmentVariable(name)}\``,
            defaultOf(setting),
            setting.description,
        ]),
    ),
    "",
];

const settingsPage = (): string[] => [
    "# Settings and exit codes",
    "",
    GENERATED,
    "A flag goes before its variable. All findings are reported together, one a line, with the flag's name; unknown",
    "flags are errors. `--help` and `--version` work on every program.",
    "",
    ...table(["exit code", "meaning"], [
        ["0", "success"],
        ["1", "the input has findings, or the work failed"],
        ["2", "the program was called wrongly, or a file cannot be read"],
    ]),
    "",
    ...programSection(entryProgram),
    ...programSection(agentProgram),
    ...programSection(platformEntryProgram),
    ...programSection(platformRankProgram),
    "Both platform programs read everything else from the file that `MAGNOLIALOCK_SETTINGS` names, in the platform's format.",
];

const fieldRow = (name: string, field: FieldDefinition): string[] => [
    `\`${name}\``,
    `\`${field.placeholder}\``,
    field.defaultValue === undefined ? "required" : `\`${String(field.defaultValue)}\``,
];

const kindSection = (kind: RuleKind): string[] => [
    `## ${kind.name}`,
    "",
    kind.summary,
    "",
    "```",
    kind.example,
    "```",
    "",
    ...table(["field", "form", "default"], [
        ...Object.entries(kind.positional).map(([name, field]) => fieldRow(name, field)),
        ...Object.entries(kind.fields).map(([name, field]) => fieldRow(`${name}=`, field)),
    ]),
    "",
];

const rulesPage = (): string[] => [
    "# The rule file",
    "",
    GENERATED,
    "One rule a line. A line starts with its kind; fields without `=` go by position, the others in any order. Every",
    "line ends with `# ` and the name of who asked for it. Empty lines and lines that start with `#` are skipped. The",
    "file is UTF-8 and at most 1 MB. `magnolialock check FILE` prints every finding as `FILE:LINE:COL: message`.",
    "",
    ...ruleKinds.all().flatMap(kindSection),
];

const pages = [
    { path: "docs/events.md", lines: eventsPage() },
    { path: "docs/rules.md", lines: rulesPage() },
    { path: "docs/settings.md", lines: settingsPage() },
];

const isCheck = process.argv.includes("--check");
for (const { path, lines } of pages) {
    const text = `${lines.join("\n").trimEnd()}\n`;
    if (!isCheck) {
        await writeFile(path, text);
        continue;
    }
    const present = await readFile(path, "utf8").catch(() => "");
    if (present !== text) {
        process.stderr.write(
            `${path} does not match the code: run "npm run reference" and commit the page\n`,
        );
        process.exitCode = 1;
    }
}
