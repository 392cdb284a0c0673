import { formatFinding } from "@magnolialock/kernel";
import { parseRules, ruleKinds } from "@magnolialock/rules";
import test from "ava";

const KEY = "a".repeat(64);
const VALID_LINES = [
    "data-centre recife region=nordeste # Ana",
    "service redator kind=model deadline=60s # Ana",
    "server redator-1 service=redator data-centre=recife agent=10.0.0.5:7100 cold=2 warm=16 # Ana",
    `account loja-1 key=sha256:${KEY} rate=20/s weight=2 # Ana`,
    "call redator POST /v1/* priority=interactive repeat=yes # Ana",
];

const findingsOf = (...lines: (string | Uint8Array)[]): string[] => {
    const bytes = Buffer.concat(
        lines.map(line => Buffer.concat([Buffer.from(line as string), Buffer.from("\n")])),
    );
    const parsed = parseRules(bytes, { source: "f" });
    return parsed.kind === "rejected" ? parsed.findings.map(formatFinding) : [];
};

test("a valid file is accepted with its rules", t => {
    const parsed = parseRules(
        Buffer.from(["# heading", "", ...VALID_LINES, "out recife # Ana: power work"].join("\r\n")),
    );
    t.is(parsed.kind, "accepted");
    if (parsed.kind === "accepted") {
        t.is(parsed.lineCount, 6);
        t.deepEqual([...parsed.rules.outDataCentres] as string[], ["recife"]);
        t.is([...parsed.rules.services.values()][0]?.deadlineMs, 60_000);
    }
});

const INVALID_LINES: readonly (readonly [name: string, line: string, finding: RegExp])[] = [
    ["a missing comment", "out recife", /^f:6:11: the comment is missing: end the line with "# "/],
    ["an empty comment", "out recife # 1", /^f:6:12: the comment is empty/],
    ["an unknown rule", "servr x # Ana", /^f:6:1: unknown rule "servr" \(did you mean "server"\?\)/],
    [
        "an unknown field",
        "data-centre natal regon=x region=x # Ana",
        /^f:6:19: unknown field "regon=x" \(did you mean "region"/,
    ],
    ["a missing field", "data-centre natal # Ana", /^f:6:1: "region=" is missing: add region=NAME/],
    ["a missing name", "out # Ana", /^f:6:1: DATA-CENTRE is missing: write it like "out recife/],
    ["a repeated field", "data-centre natal region=a region=b # Ana", /^f:6:28: "region=" is given twice/],
    [
        "a duplicate",
        "data-centre recife region=x # Ana",
        /^f:6:13: data-centre "recife" is already defined in line 1/,
    ],
    [
        "an undefined name",
        "out recifee # Ana",
        /^f:6:5: no data-centre is named "recifee" \(did you mean "recife"/,
    ],
    [
        "a number out of range",
        VALID_LINES[2]!.replace("redator-1", "r").replace("cold=2", "cold=0"),
        /^f:6:\d+: 0 is out of range: use 1 to/,
    ],
    [
        "a non-numeric value",
        VALID_LINES[2]!.replace("redator-1", "r").replace("cold=2", "cold=two"),
        /"two" is not a whole number/,
    ],
    [
        "a host name",
        VALID_LINES[2]!.replace("redator-1", "r").replace("10.0.0.5", "host"),
        /"host:7100" is not an address: write an IP address/,
    ],
    [
        "an invalid duration",
        "service x kind=model deadline=60 # Ana",
        /"60" is not a duration: write a whole number with ms, s, m or h/,
    ],
    [
        "an invalid rate",
        `account x key=sha256:${"b".repeat(64)} rate=20 # Ana`,
        /"20" is not a rate: write a whole number with \/s/,
    ],
    [
        "an invalid name",
        "data-centre Natal region=x # Ana",
        /^f:6:13: "Natal" is not a name: use lower-case letters/,
    ],
    ["a control character", "out \u0007recife # Ana", /^f:6:5: control character U\+0007: remove it/],
    [
        "a key that is already used",
        VALID_LINES[3]!.replace("loja-1", "loja-2"),
        /^f:6:1: the key sha256:a+ is already used in line 4/,
    ],
    [
        "a cold limit above the warm one",
        VALID_LINES[2]!.replace("redator-1", "r").replace("cold=2", "cold=20"),
        /cold=20 is above warm=16/,
    ],
    [
        "a group with too few expert slots",
        "group g service=redator servers=redator-1 experts=8 layers=1 slots=4 # Ana",
        /cannot hold 8 experts: raise slots/,
    ],
];

for (const [name, line, finding] of INVALID_LINES) {
    test(`${name} has its own message`, t => {
        const findings = findingsOf(...VALID_LINES, line);
        t.is(findings.length, 1, findings.join("\n"));
        t.regex(findings[0] ?? "", finding);
    });
}

test("bytes that are not UTF-8 are reported with their column", t => {
    const bad = Buffer.concat([Buffer.from("out é"), Buffer.from([0xff]), Buffer.from(" # Ana")]);
    t.deepEqual(findingsOf(...VALID_LINES, bad), [
        "f:6:6: these bytes are not UTF-8: save the file as UTF-8",
    ]);
});

test("all findings are reported in the order of the file", t => {
    const findings = findingsOf("out nowhere", "servr # Ana", ...VALID_LINES);
    t.deepEqual(findings.map(finding => finding.split(":").slice(0, 2).join(":")), ["f:1", "f:1", "f:2"]);
});

test("the example of every rule kind is well-formed", t => {
    for (const kind of ruleKinds.all()) {
        const example = kind.example.replace("<64 hexadecimal digits>", KEY);
        const findings = findingsOf(example).filter(finding => !/ no [a-z-]+ is named /.test(finding));
        t.deepEqual(findings, [], kind.name);
    }
});

test("a file over a megabyte is rejected", t => {
    t.regex(findingsOf("#".repeat(1_048_600))[0] ?? "", /keep it under 1048576/);
});
