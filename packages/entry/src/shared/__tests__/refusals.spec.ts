import { ConfigurationStore } from "@magnolialock/control";
import { type AnswerEvent, type CallerRequest, createEntry } from "@magnolialock/entry";
import {
    type Address,
    bindService,
    branded,
    type ClientAccountId,
    createRandomSource,
    type DataCentreId,
    type InstanceId,
    type RequestId,
    type Revision,
    type ServiceName,
} from "@magnolialock/kernel";
import { AgentService, RefusalReason } from "@magnolialock/protocol";
import { createVirtualRuntime, LinkTable, VirtualClock, VirtualNetwork } from "@magnolialock/test-support";
import test from "ava";

const AGENTS = ["10.0.0.1:7100", "10.0.0.2:7100"];
const RULES = [
    "data-centre recife region=nordeste",
    "service painel kind=plain deadline=2s",
    ...AGENTS.map((agent, index) =>
        `server painel-${index + 1} service=painel data-centre=recife agent=${agent} cold=2 warm=4`
    ),
    `account loja-1 key=sha256:${"a".repeat(64)} rate=1/s burst=1`,
    "call painel POST /bookings priority=booking repeat=no",
].map(line => `${line} # Ana\n`).join("");

const booking = (ticket?: string): CallerRequest => ({
    requestId: branded<RequestId>("b1"),
    account: branded<ClientAccountId>("loja-1"),
    service: branded<ServiceName>("painel"),
    method: "POST",
    path: "/bookings",
    headers: [],
    body: Buffer.from("book"),
    ticket,
});

/** Creates an agent that refuses every ticket without recording the refusal. */
const createRefusingAgent = (agent: string, index: number, tried: string[]) =>
    bindService(AgentService, {
        async *watchState() {
            yield { server: `painel-${index + 1}`, incarnation: `life-${index}`, limit: 4 };
            await new Promise(() => {});
        },
        async *session(requests) {
            for await (const batch of requests) {
                for (const { call, request } of batch.requests) {
                    if (request.case === "run") {
                        tried.push(agent);
                        const { requestId, attempt } = request.value;
                        const value = { reason: RefusalReason.WRONG_TICKET, message: "too many issuers" };
                        const event = { requestId, attempt, event: { case: "refused", value } } as const;
                        yield { events: [{ call, event: { case: "run", value: event } }] };
                    }
                }
            }
        },
    });

const startEntry = async () => {
    const clock = new VirtualClock();
    const random = createRandomSource(1);
    const network = new VirtualNetwork({ clock, links: new LinkTable({ random }) });
    const tried: string[] = [];
    for (const [index, agent] of AGENTS.entries()) {
        const runtime = createVirtualRuntime({ name: agent, dataCentre: "recife", network, random });
        await runtime.network.listen(branded<Address>(agent), [createRefusingAgent(agent, index, tried)]);
    }
    const runtime = createVirtualRuntime({ name: "entry-1", dataCentre: "recife", network, random });
    const configuration = new ConfigurationStore({ events: runtime.events });
    configuration.offer(branded<Revision>(1), Buffer.from(RULES), "test");
    const entry = createEntry({
        runtime,
        configuration,
        instance: branded<InstanceId>("entry-1"),
        dataCentre: branded<DataCentreId>("recife"),
    });
    await clock.advance(500);
    const serve = async (request: CallerRequest) => {
        const events: AnswerEvent[] = [];
        const served = entry.serve(request, new AbortController().signal, event => events.push(event));
        await clock.runUntilSettled(served, 10_000);
        const last = events.at(-1);
        return last?.kind === "failed" ? last.failure : undefined;
    };
    return { serve, tried };
};

test("a request whose refusal the agent does not record is not sent to another agent", async t => {
    const { serve, tried } = await startEntry();
    const failure = await serve(booking());
    t.is(failure?.ran, "not run");
    t.is(new Set(tried).size, 1);
});

test("a rate-limited request is reported as not run only when it carries no ticket", async t => {
    const { serve } = await startEntry();
    await serve(booking());
    const first = await serve(booking());
    t.deepEqual([first?.code, first?.ran], ["rate-limited", "not run"]);
    const again = await serve(booking("t1.painel-1.life-0.entry-1.1"));
    t.deepEqual([again?.code, again?.ran], ["rate-limited", "outcome unknown"]);
});
