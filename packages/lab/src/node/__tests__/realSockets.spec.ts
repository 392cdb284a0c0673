import { createAgent, createHttpBackend } from "@magnolialock/agent";
import { ConfigurationStore, createConsulPlatform, watchRulesStandalone } from "@magnolialock/control";
import { createEntry, createHttpApp, listenHttp } from "@magnolialock/entry";
import {
    type BackendServerId,
    branded,
    createProcessRuntime,
    createRandomSource,
    createSystemClock,
    type DataCentreId,
    type InstanceId,
    ResourceScope,
    type Revision,
    sleep,
} from "@magnolialock/kernel";
import {
    apiKeyOf,
    type FleetShape,
    formatFleetRules,
    SimulatedEngine,
    SimulatedPlatform,
    tokenText,
} from "@magnolialock/lab";
import { freeAddress } from "@magnolialock/test-support";
import test from "ava";
import { connect } from "node:http2";
import { createEngineServer } from "../standIns/engineServer.ts";
import { createPlatformServer } from "../standIns/platformServer.ts";

const SHAPE: FleetShape = {
    dataCentres: ["recife"],
    entriesPerDataCentre: 1,
    modelService: "redator",
    modelReplicas: 1,
    plainService: "painel",
    plainReplicas: 0,
    accounts: [{ name: "loja-1", weight: 1, ratePerS: 100 }],
    modelLimits: { cold: 2, warm: 16 },
    plainLimits: { cold: 2, warm: 16 },
};
const READY_POLLS = 500;
const MAX_ATTEMPTS = 40;
const RETRY_MS = 500;

/** Starts a platform, an engine, an agent and an entry in this process, connected over real sockets. */
const startRequestPath = async (scope: ResourceScope, protocol: "http1" | "http2"): Promise<string> => {
    const clock = createSystemClock();
    const runtime = scope.use(createProcessRuntime({ instance: "all", seed: 1 }));
    const engine = new SimulatedEngine({
        clock,
        random: createRandomSource(1),
        coldLimit: 2,
        warmLimit: 16,
        stepBaseMs: 1,
    });
    const [platformAddress, engineAddress, agentAddress, entryAddress] = await Promise.all([
        freeAddress(),
        freeAddress(),
        freeAddress(),
        freeAddress(),
    ]);
    const simulatedPlatform = new SimulatedPlatform({ clock });
    simulatedPlatform.publish(Buffer.from(formatFleetRules(SHAPE, {}, () => agentAddress)));
    const platformServer = createPlatformServer(simulatedPlatform);
    scope.use(await listenHttp({ app: platformServer, address: platformAddress, protocol: "http1" }));
    scope.use(
        await listenHttp({ app: createEngineServer(engine), address: engineAddress, protocol: "http1" }),
    );
    const platform = scope.use(
        createConsulPlatform({
            address: platformAddress,
            key: "magnolialock/rules",
            service: "magnolialock",
        }),
    );
    const configuration = new ConfigurationStore({ events: runtime.events });
    const stopping = new AbortController();
    scope.defer(() => stopping.abort());
    void watchRulesStandalone({ runtime, platform, store: configuration, signal: stopping.signal });
    const server = branded<BackendServerId>("redator-1");
    const backend = scope.use(createHttpBackend({ address: engineAddress }));
    scope.use(await createAgent({ runtime, server, listen: agentAddress, configuration, backend }));
    const instance = branded<InstanceId>("entry-1");
    const dataCentre = branded<DataCentreId>("recife");
    const entry = scope.use(createEntry({ runtime, instance, dataCentre, configuration }));
    scope.use(await listenHttp({ app: createHttpApp({ entry }), address: entryAddress, protocol }));
    for (let poll = 0; poll < READY_POLLS && !entry.context.agents.find(server)?.state; poll++) {
        await sleep(clock, 10);
    }
    return `http://${entryAddress}`;
};

/**
 * Retries while the answer says "not run", as callers do: on a busy machine the agent may be paused and
 * refuse.
 */
const sendUntilExecuted = async <T>(
    send: () => Promise<{ readonly ran: string | undefined; readonly value: T; }>,
): Promise<T> => {
    const clock = createSystemClock();
    for (let attempt = 1;; attempt++) {
        const { ran, value } = await send();
        if (ran !== "not run" || attempt >= MAX_ATTEMPTS) {
            return value;
        }
        await sleep(clock, RETRY_MS);
    }
};

test("a draft is answered completely over real sockets", async t => {
    await using scope = new ResourceScope();
    const url = await startRequestPath(scope, "http1");
    const text = await sendUntilExecuted(async () => {
        const response = await fetch(`${url}/redator/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${apiKeyOf("loja-1")}` },
            body: JSON.stringify({ prompt: "hello", max_tokens: 3 }),
        });
        return { ran: response.headers.get("x-ran") ?? undefined, value: await response.text() };
    });
    const tokens = [...text.matchAll(/"text":"([^"]+)"/g)].map(match => match[1]);
    t.deepEqual(tokens, [0, 1, 2].map(index => tokenText("hello", index)));
    t.true(text.endsWith("data: [DONE]\n\n"));
});

test("a draft is answered completely over HTTP/2 with prior knowledge", async t => {
    await using scope = new ResourceScope();
    const url = await startRequestPath(scope, "http2");
    const session = connect(url);
    scope.defer(() => session.close());
    const text = await sendUntilExecuted(async () => {
        const stream = session.request({
            ":method": "POST",
            ":path": "/redator/v1/completions",
            authorization: `Bearer ${apiKeyOf("loja-1")}`,
        });
        let ran: string | undefined;
        stream.on("response", headers => {
            ran = headers["x-ran"]?.toString();
        });
        stream.end(JSON.stringify({ prompt: "hello", max_tokens: 2 }));
        let value = "";
        for await (const chunk of stream) {
            value += String(chunk);
        }
        return { ran, value };
    });
    t.is(text.match(/"token":\d/g)?.length, 2, text);
    t.true(text.endsWith("data: [DONE]\n\n"));
});

test("rules under an index that is known are missed after the platform was restored", async t => {
    await using scope = new ResourceScope();
    const platform = new SimulatedPlatform({ clock: createSystemClock() });
    const address = await freeAddress();
    scope.use(await listenHttp({ app: createPlatformServer(platform), address, protocol: "http1" }));
    const client = scope.use(createConsulPlatform({ address, key: "rules", service: "magnolialock" }));
    const { signal } = new AbortController();
    const read = async (known?: Revision): Promise<string | undefined> => {
        const published = await client.watchRules(known, 50, signal);
        return published && Buffer.from(published.bytes).toString();
    };
    platform.publish(Buffer.from("one"));
    const index = platform.publish(Buffer.from("two"));
    t.is(await read(), "two");
    t.is(await read(index), undefined);
    platform.restore(1);
    t.is(platform.publish(Buffer.from("three")), index);
    t.is(await read(index), "three");
    t.is(await read(index), undefined);
});
