import { listenHttp } from "@magnolialock/entry/src/node/httpServer.ts";
import {
    type Address,
    branded,
    createRandomSource,
    createSystemClock,
    EventLog,
    type GroupName,
    ResourceScope,
} from "@magnolialock/kernel";
import { findFreePort, openSilentHost } from "@magnolialock/test-support";
import test from "ava";
import { Hono } from "hono";
import { setTimeout as delay } from "node:timers/promises";
import type { RankStatus } from "../../types/rankMessages.ts";
import type { GroupMembership } from "../../types/rankServer.ts";
import { COMPRESSED_ENCODING, decodeJson, encodeJson } from "../compressedJson.ts";
import { CALL_PATH, RankPeers, REPORT_PATH, STATUS_PATH } from "../rankPeers.ts";

const clock = createSystemClock();
const GROUP_SIZE = 3;
const COUNTS = 1_536;

const memberOf = (name: string, rank: number): GroupMembership => ({
    name: branded<GroupName>(name),
    epoch: 1,
    rank,
    isOpen: true,
    size: GROUP_SIZE,
});

/** Agent of one rank that counts what others ask it. */
class FakeAgent {
    public readonly reads = { status: 0, report: 0 };
    public readonly callEncodings: (string | undefined)[] = [];
    public readonly statusGroups: (string | undefined)[] = [];

    public constructor(public readonly host: string, private readonly group: GroupMembership) {}

    public listen(port: number): Promise<AsyncDisposable> {
        const app = new Hono();
        const report = { group: this.group, pass: 1, mapVersion: 0 };
        app.get(STATUS_PATH, context => {
            this.reads.status++;
            this.statusGroups.push(context.req.query("group"));
            const status = { report, newCounts: new Array<number>(COUNTS).fill(3) };
            const { body, headers } = encodeJson(status, true);
            return context.body(body as Uint8Array<ArrayBuffer>, 200, headers);
        });
        app.get(REPORT_PATH, context => {
            this.reads.report++;
            return context.json(report);
        });
        app.post(CALL_PATH, async context => {
            const encoding = context.req.header("content-encoding");
            this.callEncodings.push(encoding);
            const call = decodeJson(Buffer.from(await context.req.arrayBuffer()), encoding);
            return context.json(call);
        });
        return listenHttp({ app, address: branded<Address>(`${this.host}:${port}`), protocol: "http1" });
    }
}

/** The agents of two groups, and the peers as the agent of rank 0 of the first group sees them. */
const startFixture = async (scope: ResourceScope) => {
    const port = await findFreePort();
    const agents = ["left", "right"].flatMap((name, group) =>
        Array.from(
            { length: GROUP_SIZE },
            (_, rank) => new FakeAgent(`127.0.1.${group * GROUP_SIZE + rank + 1}`, memberOf(name, rank)),
        )
    );
    for (const agent of agents) {
        scope.use(await agent.listen(port));
    }
    const entry = branded<Address>(`127.0.1.100:${port}`);
    const servers = agents.map(({ host }) => ({ id: host, address: `${host}:9999` }));
    const app = new Hono().get("*", context => context.json({ servers }));
    scope.use(await listenHttp({ app, address: entry, protocol: "http1" }));
    const [own] = agents as [FakeAgent];
    const peers = scope.use(
        new RankPeers({
            clock,
            events: new EventLog({ clock, instance: "agent" }),
            random: createRandomSource(1),
            settings: {
                instance: branded("side-1"),
                service: branded("drafts"),
                server: branded<Address>(`${own.host}:9999`),
                listen: branded<Address>(`${own.host}:${port}`),
                entries: [entry],
            },
            openServer: () => {
                throw new Error("not used");
            },
        }),
    );
    void peers.run();
    while (!peers.view) {
        await new Promise(resolve => clock.setTimer(10, () => resolve(undefined)));
    }
    return { agents, peers };
};

const PLANNING_MS = 1_500;

test.serial("a leader does not read the counts of the ranks of other groups", async t => {
    await using scope = new ResourceScope();
    const { agents, peers } = await startFixture(scope);
    const startMs = clock.nowMs();
    let cycles = 0;
    while (clock.nowMs() - startMs < PLANNING_MS) {
        const members = await peers.peersOf(memberOf("left", 0));
        t.deepEqual(members.map(({ rank }) => rank).sort(), [1, 2]);
        await Promise.all(members.map(member => member.status()));
        cycles++;
        await new Promise(resolve => clock.setTimer(100, () => resolve(undefined)));
    }
    for (const { reads, statusGroups } of agents.slice(1, GROUP_SIZE)) {
        t.is(reads.status, cycles);
        t.true(statusGroups.every(group => group === "left"));
    }
    for (const { reads } of agents.slice(GROUP_SIZE)) {
        t.is(reads.status, 0);
        t.is(reads.report, 1);
    }
});

test.serial("statuses and calls are compressed once the receiver has shown that it decodes them", async t => {
    await using scope = new ResourceScope();
    const { agents, peers } = await startFixture(scope);
    const [, agent] = agents;
    const [member] = await peers.peersOf(memberOf("left", 0));
    const placement = [Array.from({ length: 24 }, () => Array.from({ length: 20 }, (_, expert) => expert))];
    const call = {
        kind: "prepare",
        ballot: { number: 1, rank: 0 },
        epoch: 1,
        version: branded(1_024),
        placement,
    } as const;
    t.deepEqual(await member?.sendCall(call as never) as unknown, call);
    const status = await member?.status() as RankStatus;
    t.is(status.newCounts.length, COUNTS);
    t.deepEqual(await member?.sendCall({ ...call } as never) as unknown, call);
    t.deepEqual(agent?.callEncodings, [undefined, COMPRESSED_ENCODING]);
});

// Guards against agents without a server list for seconds after the entries have returned.
test.serial("an agent waits on for an entry that was silent and has returned", async t => {
    const body = { servers: [{ id: "i-1", address: "127.0.0.1:9999" }] };
    await using host = await openSilentHost({ body });
    using peers = new RankPeers({
        clock,
        events: new EventLog({ clock, instance: "agent" }),
        random: createRandomSource(1),
        settings: {
            instance: branded("side-1"),
            service: branded("drafts"),
            server: branded<Address>("127.0.0.1:9999"),
            listen: branded<Address>("127.0.0.1:9998"),
            entries: [host.address],
        },
        openServer: () => {
            throw new Error("not used");
        },
    });
    void peers.run();
    await delay(3_000);
    await host.return();
    // A read that is under way, and the next one.
    await delay(1_500);
    t.is(peers.view?.servers.length, 1);
});
