import { branded, EventLog, type GroupName, type IncarnationId, seedFaults } from "@magnolialock/kernel";
import test from "ava";
import type { Ballot, RoundCall } from "../../types/rankMessages.ts";
import type {
    ExpertPlacement,
    MapVersion,
    OrderResult,
    PassNumber,
    RankOrder,
    RankServer,
} from "../../types/rankServer.ts";
import { hashPlacement } from "../ballots.ts";
import { RankMember } from "../rankMember.ts";
import { VirtualGroup } from "./virtualGroup.ts";
import { SPEC, type VirtualRank } from "./virtualRank.ts";

const EPOCH = 1;
const VERSION = branded<MapVersion>(1_024);
const PASS = branded<PassNumber>(5);
const BALLOT: Ballot = { number: 7, rank: 0 };
/** Rank at which rank 0, the leader of the round, holds its pass. */
const HOLDER = 1;
const LATE_ORDER_DELAY_MS = 3_000;

/**
 * A member that controls a rank of an idle group; selected orders are not answered and are carried out late.
 */
class MemberFixture {
    public readonly group = new VirtualGroup(2, 1);
    public readonly rank: VirtualRank;
    public readonly member: RankMember;
    public readonly placement: ExpertPlacement;
    private readonly ordersToLose: RankOrder["kind"][] = [];

    public constructor() {
        const { clock } = this.group;
        this.group.end();
        this.rank = this.group.ranks[1] as VirtualRank;
        this.placement = Array.from(
            { length: SPEC.sets },
            () => this.group.ranks.map(({ inForce }) => inForce.experts[0] ?? []),
        );
        const server: RankServer = {
            report: async () => this.rank.report(),
            counts: async () => ({ epoch: EPOCH, counts: [] }),
            heldExperts: async () => ({
                epoch: EPOCH,
                mapVersion: this.rank.inForce.version,
                experts: this.rank.inForce.experts,
            }),
            order: (order, epoch, token, signal) => this.order(order, epoch, token, signal),
        };
        const events = new EventLog({ clock, instance: "member" });
        const incarnation = branded<IncarnationId>("incarnation");
        this.member = new RankMember({ clock, events, server, serverId: () => undefined, incarnation });
    }

    public loseAnswers(kind: RankOrder["kind"], times = 1): void {
        this.ordersToLose.push(...new Array<RankOrder["kind"]>(times).fill(kind));
    }

    public handleCall(call: RoundCall) {
        return this.group.clock.runUntilSettled(this.member.handleCall(call), 10_000);
    }

    public async prepare(): Promise<void> {
        await this.handleCall({
            kind: "prepare",
            ballot: BALLOT,
            epoch: EPOCH,
            version: VERSION,
            placement: this.placement,
        });
        await this.group.clock.advance(1_000);
    }

    public arm(ballot = BALLOT) {
        const contentHash = hashPlacement(this.placement);
        return this.handleCall({
            kind: "arm",
            ballot,
            epoch: EPOCH,
            version: VERSION,
            contentHash,
            pass: PASS,
        });
    }

    public disarm(ballot = BALLOT, version: MapVersion | undefined = VERSION) {
        return this.handleCall({ kind: "disarm", ballot, epoch: EPOCH, pass: PASS, holder: HOLDER, version });
    }

    /** Sends the disarm call of the holder's agent after a restart, which does not know the map. */
    public recover(ballot: Ballot, holder = HOLDER) {
        return this.handleCall({
            kind: "disarm",
            ballot,
            epoch: EPOCH,
            pass: PASS,
            holder,
            version: undefined,
        });
    }

    private async order(
        order: RankOrder,
        epoch: number,
        token: number,
        signal: AbortSignal,
    ): Promise<OrderResult> {
        const index = this.ordersToLose.indexOf(order.kind);
        if (index < 0) {
            return this.rank.execute(order, epoch, token);
        }
        this.ordersToLose.splice(index, 1);
        this.group.clock.setTimer(LATE_ORDER_DELAY_MS, () => this.rank.execute(order, epoch, token));
        return await new Promise(resolve => signal.addEventListener("abort", () => resolve("unanswered")));
    }
}

test.serial("an unanswered arm order is retried and confirmed only once the rank reports it", async t => {
    const fixture = new MemberFixture();
    await fixture.prepare();
    fixture.loseAnswers("arm");
    t.is((await fixture.arm()).kind, "done");
    t.is(fixture.rank.armed?.pass, PASS);
});

/**
 * The rank is not armed when the round is abandoned, so the disarm call sends no order that would raise the
 * fence.
 */
const abandonRoundWithLostArms = async (): Promise<MemberFixture> => {
    const fixture = new MemberFixture();
    await fixture.prepare();
    fixture.loseAnswers("arm", 8);
    await fixture.arm();
    await fixture.disarm();
    await fixture.group.clock.advance(2 * LATE_ORDER_DELAY_MS);
    return fixture;
};

test.serial("unanswered arm orders cannot take effect after the round was abandoned", async t => {
    const fixture = await abandonRoundWithLostArms();
    t.is(fixture.rank.armed, undefined);
});

test.serial("unanswered arm orders take effect late without the fence", async t => {
    using _fault = seedFaults(["rank.skip-fence"]);
    const fixture = await abandonRoundWithLostArms();
    t.not(fixture.rank.armed, undefined);
});

test.serial("an arm call that arrives after its round was abandoned is refused", async t => {
    const fixture = new MemberFixture();
    await fixture.prepare();
    t.is((await fixture.disarm()).kind, "done");
    t.is((await fixture.arm()).kind, "refused");
    t.is(fixture.rank.armed, undefined);
});

test.serial("a late arm call is accepted without the record of abandoned rounds", async t => {
    using _fault = seedFaults(["rank.accept-closed-ballot"]);
    const fixture = new MemberFixture();
    await fixture.prepare();
    await fixture.disarm();
    await fixture.arm();
    t.not(fixture.rank.armed, undefined);
});

test.serial("a round with a lower ballot is refused but may still disarm what it armed", async t => {
    const fixture = new MemberFixture();
    await fixture.prepare();
    await fixture.arm();
    const higher: Ballot = { number: 9, rank: 1 };
    t.is((await fixture.recover(higher, 0)).kind, "done");
    t.not(fixture.rank.armed, undefined);
    t.is((await fixture.arm()).kind, "refused");
    t.is((await fixture.disarm()).kind, "done");
    t.is(fixture.rank.armed, undefined);
});

test.serial("a different map with the same version is not armed", async t => {
    const fixture = new MemberFixture();
    await fixture.prepare();
    const call = {
        kind: "arm",
        ballot: BALLOT,
        epoch: EPOCH,
        version: VERSION,
        contentHash: "other",
        pass: PASS,
    } as const;
    t.is((await fixture.handleCall(call)).kind, "refused");
});

test.serial("an agent that was fenced out does not release the pass", async t => {
    const fixture = new MemberFixture();
    const { clock } = fixture.group;
    const reservation = await clock.runUntilSettled(fixture.member.reserve(BALLOT, EPOCH), 1_000);
    fixture.rank.execute({ kind: "hold", pass: PASS }, EPOCH, reservation?.token ?? 0);
    t.is(fixture.rank.heldPass, PASS);
    fixture.rank.execute(
        { kind: "disarm", version: branded<MapVersion>(1) },
        EPOCH,
        Number.MAX_SAFE_INTEGER,
    );
    t.is(await clock.runUntilSettled(fixture.member.release(EPOCH, PASS), 1_000), "overtaken");
    t.is(fixture.rank.heldPass, PASS);
});

test.serial("a hold order with a token from before the release is fenced", async t => {
    const fixture = new MemberFixture();
    const { clock } = fixture.group;
    const reservation = await clock.runUntilSettled(fixture.member.reserve(BALLOT, EPOCH), 1_000);
    t.true(await clock.runUntilSettled(fixture.member.releaseUnarmed(EPOCH), 1_000));
    const result = fixture.rank.execute({ kind: "hold", pass: PASS }, EPOCH, reservation?.token ?? 0);
    t.is(result, "fenced");
    t.is(fixture.rank.heldPass, undefined);
});

test.serial("no pass can be held at a rank that is armed, nor for a round with a lower ballot", async t => {
    const fixture = new MemberFixture();
    const { clock } = fixture.group;
    const reserve = (ballot: Ballot) => clock.runUntilSettled(fixture.member.reserve(ballot, EPOCH), 1_000);
    await fixture.prepare();
    t.is(await reserve({ number: 6, rank: 0 }), undefined);
    t.not(await reserve(BALLOT), undefined);
    await fixture.arm();
    t.is(await reserve({ number: 9, rank: 0 }), undefined);
});

const LATER: Ballot = { number: 9, rank: 0 };
const EARLIER_VERSION = branded<MapVersion>(512);

test.serial("a late disarm call of an earlier round leaves a later one armed for the same pass", async t => {
    const fixture = new MemberFixture();
    await fixture.prepare();
    await fixture.arm(LATER);
    t.is((await fixture.disarm(BALLOT, EARLIER_VERSION)).kind, "done");
    t.is((await fixture.recover(BALLOT)).kind, "done");
    t.not(fixture.rank.armed, undefined);
    await fixture.recover({ number: 10, rank: 1 });
    t.is(fixture.rank.armed, undefined);
});

test.serial("a late disarm call cancels the map of a later round when the check is disabled", async t => {
    using _fault = seedFaults(["rank.disarm-later-rounds"]);
    const fixture = new MemberFixture();
    await fixture.prepare();
    await fixture.arm(LATER);
    await fixture.disarm(BALLOT, EARLIER_VERSION);
    t.is(fixture.rank.armed, undefined);
});

test("the leader of another group does not take the counts of this group's leader", async t => {
    const group = new VirtualGroup(2, 1);
    const { member } = group.agentOf(1);
    // A rank that the running leader of the virtual group does not have.
    const reader = 9;
    const read = (name: string) =>
        group.clock.runUntilSettled(member.status(reader, branded<GroupName>(name)), 10_000);
    await read("g");
    const rank = group.ranks[1] as VirtualRank;
    rank.selectionCounts[3] = (rank.selectionCounts[3] as number) + 1_000;
    await t.throwsAsync(read("other"), { message: /another group/ });
    t.true(((await read("g")).newCounts[3] ?? 0) >= 1_000);
    group.end();
});
