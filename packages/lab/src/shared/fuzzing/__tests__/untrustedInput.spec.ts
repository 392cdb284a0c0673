import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { ConfigurationStore } from "@magnolialock/control";
import { createHttpApp, type Entry } from "@magnolialock/entry";
import {
    type Address,
    branded,
    createSystemClock,
    EventLog,
    integerSetting,
    resolveConfig,
    SettingsError,
    textSetting,
} from "@magnolialock/kernel";
import { AgentService, Priority, type RunRequest, RunRequestSchema } from "@magnolialock/protocol";
import { parseRules } from "@magnolialock/rules";
import { createVirtualRuntime } from "@magnolialock/test-support";
import test from "ava";
import * as fc from "fast-check";
import { formatFleetRules, LETREIRO_SHAPE } from "../../fleet/fleetRules.ts";
import { VirtualFleet } from "../../fleet/virtualFleet.ts";
import { fleetShapes } from "../../scenarios/fleetShapes.ts";
import { parseScenario } from "../../scenarios/parseScenario.ts";

const SEED = 7;

/** Valid text in which up to four pieces are cut out or replaced by random strings. */
const mutatedText = (text: string): fc.Arbitrary<string> =>
    fc.array(fc.tuple(fc.nat(text.length), fc.nat(20), fc.string({ unit: "binary", maxLength: 8 })), {
        maxLength: 4,
    })
        .map(edits =>
            edits.reduce(
                (result, [at, length, piece]) => result.slice(0, at) + piece + result.slice(at + length),
                text,
            )
        );

test("the rule parser never throws, and its findings have a line and a column", t => {
    const valid = formatFleetRules(LETREIRO_SHAPE);
    fc.assert(
        fc.property(
            fc.oneof(fc.uint8Array({ maxLength: 400 }), mutatedText(valid).map(text => Buffer.from(text))),
            bytes => {
                const parsed = parseRules(bytes);
                return parsed.kind === "accepted"
                    || (parsed.findings.length > 0
                        && parsed.findings.every(({ line = 0, column = 0, message }) =>
                            line > 0 && column > 0 && message !== ""
                        ));
            },
        ),
        { seed: SEED, numRuns: 400 },
    );
    t.pass();
});

test("the scenario parser never throws, and its findings have a line and a column", t => {
    const valid =
        "fleet small\nat 3 s take data centre recife out\npause entry 1 for 8 s\nexpect a answered\n";
    fc.assert(
        fc.property(fc.oneof(fc.string({ unit: "binary" }), mutatedText(valid)), text => {
            const parsed = parseScenario(text, "fuzz");
            return parsed.kind === "accepted"
                || parsed.findings.every(({ line = 0, column = 0 }) => line > 0 && column > 0);
        }),
        { seed: SEED, numRuns: 400 },
    );
    t.pass();
});

test("settings either resolve or fail with a SettingsError, never with another error", async t => {
    const program = {
        programName: "test",
        description: "test",
        version: "0",
        definitions: {
            name: textSetting({ description: "a name" }),
            count: integerSetting({ description: "a count", defaultValue: 1, min: 0, max: 9 }),
        },
    } as const;
    const argument = fc.oneof(
        fc.constantFrom("--name", "--count", "--count=3", "--unknown", "x"),
        fc.string(),
    );
    const argv = fc.array(argument.filter(text => !/^--?(h|help|v|version)\b/.test(text)), { maxLength: 5 });
    await fc.assert(
        fc.asyncProperty(argv, fc.string(), async (args, text) => {
            try {
                const { count } = await resolveConfig(program, args, { MAGNOLIALOCK_COUNT: text });
                return count >= 0 && count <= 9;
            }
            catch (error) {
                return error instanceof SettingsError && error.message !== "";
            }
        }),
        { seed: SEED, numRuns: 200 },
    );
    t.pass();
});

const createAppOfStubEntry = () => {
    const configuration = new ConfigurationStore({
        events: new EventLog({ clock: createSystemClock(), instance: "entry" }),
    });
    configuration.offer(branded(1), Buffer.from(formatFleetRules(LETREIRO_SHAPE)), "test");
    const entry = {
        context: { configuration } as Entry["context"],
        running: 0,
        isReady: true,
        serve: async (_request, _signal, consume) => consume({ kind: "end", finishReason: "" }),
        issueTicket: () => "",
        stop: async () => {},
        [Symbol.asyncDispose]: async () => {},
    } satisfies Entry;
    return createHttpApp({ entry, maxBodyBytes: 100 });
};

test("the HTTP front end answers any request, and never with status 500", async t => {
    const app = createAppOfStubEntry();
    const method = fc.constantFrom("GET", "POST", "PUT", "DELETE", "PATCH");
    const header = fc.constantFrom(
        "authorization",
        "x-request-id",
        "x-timeout-ms",
        "x-ticket",
        "idempotency-key",
    );
    const value = fc.oneof(
        fc.constantFrom("Bearer key-loja-1", "-1", "1e999", "t1.a.b.c"),
        fc.string({ unit: fc.constantFrom(...'aZ0.-_ ;="%') }),
    );
    await fc.assert(
        fc.asyncProperty(
            method,
            fc.webPath(),
            fc.dictionary(header, value),
            fc.uint8Array({ maxLength: 150 }),
            async (
                verb,
                path,
                headers,
                body,
            ) => {
                const hasBody = verb !== "GET" && body.length > 0;
                const response = await app.request(`/painel${path}`, {
                    method: verb,
                    headers,
                    ...(hasBody ? { body } : {}),
                });
                return response.status >= 200 && response.status < 600 && response.status !== 500;
            },
        ),
        { seed: SEED, numRuns: 300 },
    );
    t.pass();
});

const mutatedRequest = (valid: RunRequest): fc.Arbitrary<RunRequest> => {
    const bytes = toBinary(RunRequestSchema, valid);
    const edit = fc.tuple(fc.nat(bytes.length - 1), fc.integer({ min: 0, max: 255 }));
    return fc.array(edit, { minLength: 1, maxLength: 3 }).map(edits => {
        const copy = bytes.slice();
        edits.forEach(([at, byte]) => copy.fill(byte, at, at + 1));
        try {
            return fromBinary(RunRequestSchema, copy);
        }
        catch {
            return valid;
        }
    });
};

test("an agent answers corrupted messages and keeps serving", async t => {
    const shape = fleetShapes["small"] ?? LETREIRO_SHAPE;
    const fleet = await VirtualFleet.start({ shape, seed: SEED });
    await fleet.clock.advance(2_000);
    const backend = fleet.backends.get("painel-1");
    const runtime = createVirtualRuntime({
        name: "stranger",
        dataCentre: "recife",
        network: fleet.network,
        random: fleet.random,
    });
    const client = createClient(
        AgentService,
        runtime.network.transportTo(branded<Address>(backend?.server.agent ?? "")),
    );
    const valid = create(RunRequestSchema, {
        requestId: "booking",
        attempt: 1,
        service: "painel",
        priority: Priority.BOOKING,
        remainingMs: 2_000,
        ticket: "t1.painel-1.x.y",
        method: "POST",
        path: "/bookings",
    });
    const run = async (request: RunRequest): Promise<string> => {
        let last = "";
        for await (const event of client.run(request)) {
            last = event.event.case ?? "";
        }
        return last;
    };
    await fc.assert(
        fc.asyncProperty(mutatedRequest(valid), async request => {
            const outcome = await fleet.clock.runUntilSettled(run(request).catch(() => "error"), 100_000);
            return ["end", "refused", "unknown", "error", ""].includes(outcome);
        }),
        { seed: SEED, numRuns: 200 },
    );
    const events: string[] = [];
    const status = { ...valid, isRepeatable: true, ticket: "", path: "/status/1", requestId: "after" };
    events.push(await fleet.clock.runUntilSettled(run(create(RunRequestSchema, status)), 10_000));
    t.deepEqual(events, ["end"]);
});
