import {
    environmentVariable,
    integerSetting,
    requiredAddressSetting,
    resolveConfig,
    SettingsError,
    switchSetting,
} from "@magnolialock/kernel";
import test from "ava";

const program = {
    programName: "sample",
    description: "A sample.",
    version: "1.2.3",
    definitions: {
        listen: requiredAddressSetting({ description: "Address" }),
        maxBytes: integerSetting({ description: "Size", defaultValue: 10, min: 1, max: 100 }),
        verbose: switchSetting({ description: "Verbose output" }),
    },
} as const;

test("a flag takes precedence over its variable, and the variable over the default", async t => {
    const environment = { MAGNOLIALOCK_MAX_BYTES: "20", MAGNOLIALOCK_LISTEN: "127.0.0.1:1" };
    const fromVariable = await resolveConfig(program, [], environment);
    t.is(fromVariable.maxBytes, 20);
    const fromFlag = await resolveConfig(program, ["--max-bytes", "30", "--verbose"], environment);
    t.deepEqual({ ...fromFlag }, {
        listen: "127.0.0.1:1" as typeof fromFlag.listen,
        maxBytes: 30,
        verbose: true,
    });
    t.true(Object.isFrozen(fromFlag));
    t.is(environmentVariable("maxBytes"), "MAGNOLIALOCK_MAX_BYTES");
});

test("all findings are reported together, each with its flag or variable", async t => {
    const error = await t.throwsAsync(
        resolveConfig(program, ["stray", "--max-bytes", "1000", "--verbos"], {
            MAGNOLIALOCK_LISTEN: "host:1",
        }),
        { instanceOf: SettingsError },
    );
    const lines = error.message.split("\n");
    t.is(lines.length, 4);
    t.regex(error.message, /--verbos: unknown flag \(did you mean "verbose"\?\)/);
    t.regex(error.message, /stray: unexpected argument/);
    t.regex(error.message, /--max-bytes: "1000" must be a whole number from 1 to 100/);
    t.regex(error.message, /MAGNOLIALOCK_LISTEN: "host:1" is not an address/);
});
