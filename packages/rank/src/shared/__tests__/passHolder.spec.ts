import { branded, seedFaults } from "@magnolialock/kernel";
import test from "ava";
import type { Ballot, HoldCall, HoldReply } from "../../types/rankMessages.ts";
import type { MapVersion, PassNumber } from "../../types/rankServer.ts";
import { VirtualGroup } from "./virtualGroup.ts";

const RANKS = 3;
const HOLDER = 1;
const BALLOT: Ballot = { number: 7, rank: 0 };
const GRANT: HoldCall = { kind: "grant", ballot: BALLOT, epoch: 1 };

/** Creates a group that starts no passes and has no leader, with access to the agent of one rank. */
const createHolder = async () => {
    const group = new VirtualGroup(RANKS, 1);
    group.end();
    for (let rank = 0; rank < RANKS; rank++) {
        void group.agentOf(rank).leader[Symbol.asyncDispose]();
    }
    await group.clock.advance(1_000);
    const rank = group.ranks[HOLDER];
    const handleCall = (call: HoldCall): Promise<HoldReply> =>
        group.clock.runUntilSettled(group.agentOf(HOLDER).holder.handleCall(call), 5_000);
    return { group, rank, handleCall };
};

test.serial("a hold from before the agent's restart is not used for a new round", async t => {
    const { group, rank, handleCall } = await createHolder();
    if (rank) {
        rank.heldPass = branded<PassNumber>(group.pass + 3);
    }
    t.is((await handleCall(GRANT)).kind, "refused");
});

test.serial("a hold from before the agent's restart is used when the check is disabled", async t => {
    using _fault = seedFaults(["rank.take-over-holds"]);
    const { group, rank, handleCall } = await createHolder();
    if (rank) {
        rank.heldPass = branded<PassNumber>(group.pass + 3);
    }
    t.is((await handleCall(GRANT)).kind, "granted");
});

test.serial("only one round is granted at a time, and a repeated grant reports the held pass", async t => {
    const { group, rank, handleCall } = await createHolder();
    const granted = await handleCall(GRANT);
    if (granted.kind !== "granted") {
        t.fail();
        return;
    }
    const pass = branded<PassNumber>(group.pass + 3);
    t.is((await handleCall({ ...GRANT, ballot: { number: 8, rank: 2 } })).kind, "refused");
    rank?.execute({ kind: "hold", pass }, 1, granted.token);
    const repeated = await handleCall(GRANT);
    t.is(repeated.kind === "granted" ? repeated.heldPass : undefined, pass);
});

test.serial("the hold of a leader that times out is released, and its finish call is refused", async t => {
    const { group, rank, handleCall } = await createHolder();
    const granted = await handleCall(GRANT);
    const pass = branded<PassNumber>(group.pass + 3);
    rank?.execute({ kind: "hold", pass }, 1, granted.kind === "granted" ? granted.token : 0);
    t.is(rank?.heldPass, pass);
    await group.clock.advance(400);
    t.is(rank?.heldPass, undefined);
    const version = branded<MapVersion>(1_024);
    const finish: HoldCall = { kind: "finish", ballot: BALLOT, epoch: 1, version, contentHash: "map", pass };
    t.is((await handleCall(finish)).kind, "refused");
});

test.serial("a grant for another epoch of the group is refused", async t => {
    const { handleCall } = await createHolder();
    t.is((await handleCall({ ...GRANT, epoch: 2 })).kind, "refused");
});
