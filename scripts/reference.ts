/**
 * Generates the reference pages in `docs/` from the code. With `--check` it only verifies that they are up to
 * date.
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

const GENERATED_NOTICE =
    "This page is generated from the code by `npm run reference`; CI checks that it is up to date.";

const createTable = (headers: readonly string[], rows: readonly (readonly string[])[]): string[] => {
    const formatRow = (cells: readonly string[]): string =>
        `| ${cells.map(cell => cell.replaceAll("|", "\\|")).join(" | ")} |`;
    return [formatRow(headers), formatRow(headers.map(() => "---")), ...rows.map(formatRow)];
};

const createEventsPage = (): string[] => [
    "# Events",
    "",
    GENERATED_NOTICE,
    "Logs and timelines show an event as `E` and its number. Numbers 1000 to 1999 belong to the control plane,",
    "2000 to 2999 to agents, 3000 to 3999 to entries, 4000 to 4999 to expert maps, 5000 to 5999 to the lab,",
    "8000 to 8999 to direct entries, 9000 to 9999 to rank agents.",
    "",
    ...createTable(
        ["number", "name", "level", "meaning"],
        eventCatalogue().map((
            { number, name, level, summary },
        ) => [`E${number}`, `\`${name}\``, level, summary]),
    ),
];

const toKebabCase = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

const formatDefault = (setting: Setting<unknown>): string => {
    if (setting.isRequired) {
        return "required";
    }
    const { defaultValue } = setting;
    const isEmpty = defaultValue === undefined || (Array.isArray(defaultValue) && defaultValue.length === 0);
    return isEmpty ? "none" : `\`${String(defaultValue)}\``;
};

const createProgramSection = (program: SettingsProgram<SettingDefinitions>): string[] => [
    `## ${program.programName}`,
    "",
    program.description,
    "",
    ...createTable(
        ["flag", "variable", "default", "meaning"],
        Object.entries(program.definitions).map(([name, setting]) => [
            `\`--${toKebabCase(name)}\``,
            `\`${environmentVariable(name)}\``,
            formatDefault(setting),
            setting.description,
        ]),
    ),
    "",
];

const createSettingsPage = (): string[] => [
    "# Settings and exit codes",
    "",
    GENERATED_NOTICE,
    "A flag takes precedence over its environment variable. All findings are reported together, one per line, with the",
    "name of the flag; unknown flags are errors. Every program has `--help` and `--version`.",
    "",
    ...createTable(["exit code", "meaning"], [
        ["0", "success"],
        ["1", "the input has findings, or the operation failed"],
        ["2", "invalid command line, or a file cannot be read"],
    ]),
    "",
    ...createProgramSection(entryProgram),
    ...createProgramSection(agentProgram),
    ...createProgramSection(platformEntryProgram),
    ...createProgramSection(platformRankProgram),
    "Both platform programs read all other settings from the file that `MAGNOLIALOCK_SETTINGS` names, in the format of the platform.",
];

const createFieldRow = (name: string, field: FieldDefinition): string[] => [
    `\`${name}\``,
    `\`${field.placeholder}\``,
    field.defaultValue === undefined ? "required" : `\`${String(field.defaultValue)}\``,
];

const createKindSection = (kind: RuleKind): string[] => [
    `## ${kind.name}`,
    "",
    kind.summary,
    "",
    "```",
    kind.example,
    "```",
    "",
    ...createTable(["field", "form", "default"], [
        ...Object.entries(kind.positional).map(([name, field]) => createFieldRow(name, field)),
        ...Object.entries(kind.fields).map(([name, field]) => createFieldRow(`${name}=`, field)),
    ]),
    "",
];

const createRulesPage = (): string[] => [
    "# The rule file",
    "",
    GENERATED_NOTICE,
    "Each line holds one rule and starts with its kind. Fields without `=` are positional; the others come in any order.",
    "Every rule ends with `# ` and the name of the person who requested it. Empty lines and lines that start with `#` are",
    "skipped. The file is UTF-8 and at most 1 MB. `magnolialock check FILE` prints each finding as `FILE:LINE:COL: message`.",
    "",
    ...ruleKinds.all().flatMap(createKindSection),
];

const pages = [
    { path: "docs/events.md", lines: createEventsPage() },
    { path: "docs/rules.md", lines: createRulesPage() },
    { path: "docs/settings.md", lines: createSettingsPage() },
];

const isCheckOnly = process.argv.includes("--check");
for (const { path, lines } of pages) {
    const text = `${lines.join("\n").trimEnd()}\n`;
    if (!isCheckOnly) {
        await writeFile(path, text);
        continue;
    }
    const currentText = await readFile(path, "utf8").catch(() => "");
    if (currentText !== text) {
        process.stderr.write(
            `${path} is out of date: run "npm run reference" and commit the page\n`,
        );
        process.exitCode = 1;
    }
}
