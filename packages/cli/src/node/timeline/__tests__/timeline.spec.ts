import { createClient } from "@connectrpc/connect";
import { readTimeline } from "@magnolialock/control";
import {
    type Address,
    bindService,
    branded,
    compareTimelineEntries,
    createRandomSource,
    defineEvent,
    HybridClock,
    type TimelineEntry,
} from "@magnolialock/kernel";
import { AgentService, OperatorService } from "@magnolialock/protocol";
import {
    createVirtualRuntime,
    LinkTable,
    VirtualClock,
    VirtualNetwork,
    type VirtualRuntime,
} from "@magnolialock/test-support";
import test from "ava";
import { explainRequest } from "../explainRequest.ts";
import { readTimelines, type TimelineFilter } from "../readTimelines.ts";

const asked = defineEvent({ number: 9_001, name: "test.asked", level: "info", summary: "Asked." });
const answered = defineEvent({ number: 9_002, name: "test.answered", level: "info", summary: "Answered." });

const operatorOf = (runtime: VirtualRuntime, dataCentre: string) =>
    bindService(OperatorService, {
        getStatus: () => ({ instance: runtime.endpoint.name, dataCentre }),
        readTimeline: (request, context) => readTimeline(runtime.events, request, context.signal),
    });

/** Creates two processes; the server's wall clock is offset, the client's is correct. */
const createPair = async (serverOffsetMs: number) => {
    const clock = new VirtualClock();
    const random = createRandomSource(1);
    const network = new VirtualNetwork({ clock, links: new LinkTable({ random }) });
    const create = (name: string, wallOffsetMs = 0) =>
        createVirtualRuntime({ name, dataCentre: "recife", network, random, wallOffsetMs });
    const server = create("server", serverOffsetMs);
    const client = create("client");
    const reader = create("reader");
    const peers = [branded<Address>("10.0.0.1:1"), branded<Address>("10.0.0.2:1")] as const;
    const agent = bindService(AgentService, {
        recall: () => {
            server.events.emit(answered, { requestId: "r1", revision: 4 });
            return {};
        },
    });
    await server.network.listen(peers[0], [operatorOf(server, "recife"), agent]);
    await client.network.listen(peers[1], [operatorOf(client, "natal")]);
    const recall = async (): Promise<void> => {
        client.events.emit(asked, { requestId: "r1" });
        await createClient(AgentService, client.network.transportTo(peers[0])).recall({ requestId: "r1" });
        client.events.emit(answered, { requestId: "r2", server: "painel-1" });
    };
    await clock.runUntilSettled(recall(), 1_000);
    const read = async (filter: TimelineFilter, addresses: readonly Address[] = peers) => {
        const entries: TimelineEntry[] = [];
        const findings = await clock.runUntilSettled(
            readTimelines({
                network: reader.network,
                peers: addresses,
                filter,
                follow: false,
                signal: new AbortController().signal,
                onEntry: entry => void entries.push(entry),
            }),
            10_000,
        );
        return {
            findings,
            names: entries.sort(compareTimelineEntries).map(({ instance, name }) => `${instance} ${name}`),
        };
    };
    return { read };
};

for (const offsetMs of [-30_000, -500, 0, 500, 30_000]) {
    test(`events are in causal order when the server's clock is ${offsetMs} ms off`, async t => {
        const { read } = await createPair(offsetMs);
        t.deepEqual((await read({})).names, [
            "client test.asked",
            "server test.answered",
            "client test.answered",
        ]);
    });
}

test("the hybrid clock ignores a remote time that is far ahead or not a number", t => {
    const hybrid = new HybridClock(new VirtualClock({ startWallMs: 1_000 }));
    hybrid.observe({ wallMs: 10_000_000, counter: 1 });
    hybrid.observe({ wallMs: Number.NaN, counter: 1 });
    t.is(hybrid.tick().wallMs, 1_000);
});

test("events are filtered by request, revision, server and data centre", async t => {
    const { read } = await createPair(0);
    t.deepEqual((await read({ request: "r2" })).names, ["client test.answered"]);
    t.deepEqual((await read({ revision: "4" })).names, ["server test.answered"]);
    t.deepEqual((await read({ server: "painel-1" })).names, ["client test.answered"]);
    t.deepEqual((await read({ dataCentre: "recife" })).names, ["server test.answered"]);
});

test("an unreachable process yields a finding, and the others are still read", async t => {
    const { read } = await createPair(0);
    const { findings, names } = await read({ request: "r1" }, [
        branded<Address>("10.0.0.1:1"),
        branded<Address>("10.0.0.9:1"),
    ]);
    t.deepEqual(findings.map(({ source }) => source), ["10.0.0.9:1"]);
    t.is(names.length, 1);
});

test("the explanation of a request states what the caller was told", t => {
    const entry = (wallMs: number, name: string, fields: Record<string, string>): TimelineEntry => ({
        time: { wallMs, counter: 0 },
        instance: name.split(".")[0] ?? "",
        number: 1,
        name,
        fields: { requestId: "r1", ...fields },
    });
    const explanation = explainRequest("r1", [
        entry(1_000, "entry.request.received", { account: "loja-1", service: "painel" }),
        entry(1_002, "agent.request.started", { attempt: "1", queuedMs: "0" }),
        entry(1_020, "entry.request.failed", { code: "broken", ran: "outcome unknown", message: "it broke" }),
    ]).join("\n");
    t.regex(explanation, /took the request of account loja-1 for service painel/);
    t.regex(explanation, /told "outcome unknown"\. It was handed to a backend server once/);
    t.regex(explainRequest("r9", []).join(""), /No events of request r9 were found/);
});
