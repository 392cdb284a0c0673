/**
 * The agent of one rank: sends the orders to its server and takes part in the map switches of its group.
 *
 * @packageDocumentation
 */

import { SERVER_GROUP_PATH } from "@magnolialock/direct/src/types/publishedState.ts";
import { listenHttp } from "@magnolialock/entry/src/node/httpServer.ts";
import {
    type Address,
    branded,
    errorMessage,
    type GroupName,
    type IncarnationId,
    readBounded,
    ResourceScope,
    type Runtime,
} from "@magnolialock/kernel";
import { type Context, Hono } from "hono";
import { setImmediate } from "node:timers/promises";
import { GroupLeader } from "../shared/groupLeader.ts";
import { PassHolder } from "../shared/passHolder.ts";
import { rankStarted, rankStopped } from "../shared/rankEvents.ts";
import { RankMember } from "../shared/rankMember.ts";
import type { HoldCall, RoundCall } from "../types/rankMessages.ts";
import type { RankServer } from "../types/rankServer.ts";
import type { RankSettings } from "../types/rankSettings.ts";
import { COMPRESSED_ENCODING, decodeJson, encodeJson } from "./compressedJson.ts";
import { CALL_PATH, HOLD_PATH, RankPeers, REPORT_PATH, STATUS_PATH } from "./rankPeers.ts";

/** Options of {@link startRankAgent}. */
export interface RankAgentOptions {
    /** Clock, random source and event log of the process. */
    readonly runtime: Pick<Runtime, "clock" | "random" | "events">;
    /** Settings of the agent. */
    readonly settings: RankSettings;
    /** The rank's server. */
    readonly server: RankServer;
    /**
     * Opens the server of another rank.
     *
     * @param address - where it listens
     */
    readonly openServer: (address: Address) => RankServer & AsyncDisposable;
}

/** Age up to which the state of the rank is told to entries, in milliseconds; there are many entries. */
const GROUP_MAX_AGE_MS = 200;
/** Largest call of another agent, in bytes: far above the map of a large group. */
const MAX_CALL_BYTES = 4 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

const acceptsCompression = (context: Context): boolean =>
    context.req.header("accept-encoding")?.includes(COMPRESSED_ENCODING) ?? false;

/** Reads the body of a call of another agent. */
const readCall = ({ req: { raw: { body } } }: Context): Promise<Buffer> =>
    body ? readBounded(body, MAX_CALL_BYTES) : Promise.resolve(Buffer.alloc(0));

/** Creates the HTTP routes for the other agents of the group. */
const createApp = (member: RankMember, holder: PassHolder, leader: GroupLeader): Hono => {
    const app = new Hono();
    app.get(STATUS_PATH, async context => {
        const readerRank = Number(context.req.query("rank"));
        // Agents of earlier releases do not name their group.
        const readerGroup = context.req.query("group");
        const status = await member.status(readerRank, readerGroup as GroupName | undefined);
        if (status.report.group) {
            leader.noteStatusRequest(readerRank, status.report.group.rank);
        }
        const { body, headers } = encodeJson(status, acceptsCompression(context));
        return context.body(body as Uint8Array<ArrayBuffer>, HTTP_OK, headers);
    });
    app.get(SERVER_GROUP_PATH, async context => {
        const { group } = await member.readReport(GROUP_MAX_AGE_MS);
        return context.json({ name: group?.name, isOpen: group?.isOpen ?? false, epoch: group?.epoch });
    });
    app.get(REPORT_PATH, async context => context.json(await member.readReport()));
    app.post(
        CALL_PATH,
        async context => {
            const encoding = context.req.header("content-encoding");
            const call = decodeJson(await readCall(context), encoding) as RoundCall;
            const reply = await member.handleCall(call);
            if (reply.kind === "done") {
                leader.noteRoundCall(call);
            }
            return context.json(reply);
        },
    );
    app.post(
        HOLD_PATH,
        async context => {
            const call = decodeJson(await readCall(context), undefined) as HoldCall;
            return context.json(await holder.handleCall(call));
        },
    );
    app.onError((error, context) => context.json({ error: errorMessage(error) }, HTTP_UNAVAILABLE));
    return app;
};

/**
 * Starts a rank agent.
 *
 * @param options - runtime, settings and server
 * @returns the agent; disposal stops it after the current round
 * @throws when the address cannot be bound
 */
export const startRankAgent = async (options: RankAgentOptions): Promise<AsyncDisposable> => {
    const { openServer, runtime, server, settings } = options;
    const { clock, events, random } = runtime;
    const scope = new ResourceScope();
    const peers = scope.use(new RankPeers({ clock, events, random, settings, openServer }));
    const member = new RankMember({
        clock,
        events,
        server,
        serverId: () => peers.ownServer,
        incarnation: branded<IncarnationId>(random.nextFloat().toString(36).slice(2)),
    });
    const holder = new PassHolder({
        clock,
        events,
        member,
        peersOf: group => peers.peersOf(group),
    });
    const leader = new GroupLeader({
        clock,
        events,
        member,
        holder,
        peersOf: group => peers.peersOf(group),
        spec: () => peers.view?.experts,
        yieldToEventLoop: () => setImmediate(),
    });
    scope.use(
        await listenHttp({
            app: createApp(member, holder, leader),
            address: settings.listen,
            protocol: "http1",
        }),
    );
    scope.use(holder);
    scope.use(leader);
    void peers.run();
    leader.start();
    events.emit(rankStarted, { service: settings.service, server: settings.server });
    return {
        [Symbol.asyncDispose]: async () => {
            await scope[Symbol.asyncDispose]();
            events.emit(rankStopped);
        },
    };
};
