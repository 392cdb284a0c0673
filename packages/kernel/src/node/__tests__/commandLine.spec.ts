import { type Command, PluginRegistry, runCommandLine, SettingsError } from "@magnolialock/kernel";
import test from "ava";

const run = async (argv: readonly string[], environment: NodeJS.ProcessEnv) => {
    const seen: Record<string, unknown>[] = [];
    const commands = new PluginRegistry<Command>("command");
    commands.register({
        name: "sample",
        usage: "sample",
        description: "A sample.",
        builder: yargs =>
            yargs
                .option("seed", { type: "number", default: 1 })
                .option("peers", { type: "array", string: true, demandOption: true })
                .option("json", { type: "boolean", default: false }),
        run: async args => {
            seen.push(args);
            return 0;
        },
    });
    await runCommandLine({ programName: "sample", commands, argv, environment });
    return seen[0];
};

test("flags of a command are read from environment variables with the type of the flag", async t => {
    const environment = { MAGNOLIALOCK_SEED: "7", MAGNOLIALOCK_PEERS: "a,b", MAGNOLIALOCK_JSON: "true" };
    const args = await run(["sample"], environment);
    t.is(args?.["seed"], 7);
    t.deepEqual(args?.["peers"], ["a", "b"]);
    t.is(args?.["json"], true);
    t.is((await run(["sample", "--seed", "8"], environment))?.["seed"], 8);
});

test("environment variables of other programs are not reported as unknown flags", async t => {
    const args = await run(["sample", "--peers", "a"], { MAGNOLIALOCK_SHARED_KEY: "secret" });
    t.is(args?.["seed"], 1);
});

test("an unknown flag is an error", async t => {
    await t.throwsAsync(run(["sample", "--peers", "a", "--sed", "1"], {}), { instanceOf: SettingsError });
});
