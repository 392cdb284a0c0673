import { createRandomSource, EventLog } from "@magnolialock/kernel";
import { VirtualClock } from "@magnolialock/test-support";
import test from "ava";
import { CrashQuarantine } from "../crashQuarantine.ts";
import type { CrashReport } from "../crashVerdicts.ts";
import { encodePeerNews } from "../peerReport.ts";
import { sharedPromptParts } from "../promptParts.ts";
import { NAMES } from "./directFixture.ts";

/** Time that a crash and the return of the group take, in milliseconds. */
const CYCLE_MS = 4_000;
const MINUTE_MS = 60_000;

class QuarantineFixture {
    public readonly clock = new VirtualClock();
    public readonly quarantine: CrashQuarantine;
    public isTrialInstance = true;
    private nextId = 1;

    public constructor() {
        this.quarantine = new CrashQuarantine({
            clock: this.clock,
            events: new EventLog({ clock: this.clock, instance: "entry-1" }),
            random: createRandomSource(1),
            isTrialInstance: () => this.isTrialInstance,
        });
    }

    public crash(parts: readonly string[], changes: Partial<CrashReport> = {}): void {
        const nowMs = this.clock.nowMs();
        const id = this.nextId++;
        this.quarantine.recordCrash({
            id,
            server: id,
            crashedMs: nowMs,
            sentMs: nowMs - 100,
            servedMs: nowMs - 50,
            suspects: parts,
            ...changes,
        });
    }

    public async crashTwice(...parts: readonly string[]): Promise<void> {
        this.crash(parts);
        await this.clock.advance(CYCLE_MS);
        this.crash(parts);
    }

    public decision(...parts: readonly string[]): string {
        return this.quarantine.check(parts).kind;
    }
}

test("two crashes after each other put a part into quarantine, one does not", async t => {
    const fixture = new QuarantineFixture();
    fixture.crash(["bad"]);
    t.is(fixture.decision("bad"), "free");
    await fixture.clock.advance(CYCLE_MS);
    fixture.crash(["bad"]);
    t.is(fixture.decision("other", "bad"), "refused");
    t.is(fixture.decision("other"), "free");
});

test("servers that end together count as one crash", t => {
    const fixture = new QuarantineFixture();
    for (let server = 0; server < 10; server++) {
        fixture.crash(["popular"]);
    }
    t.is(fixture.decision("popular"), "free");
});

test("a crash before the group has begun answers again does not count", async t => {
    const fixture = new QuarantineFixture();
    fixture.crash(["popular"]);
    await fixture.clock.advance(CYCLE_MS);
    fixture.crash(["popular"], { servedMs: -1 });
    t.is(fixture.decision("popular"), "free");
});

test("a request that was sent before the earlier crash does not count", async t => {
    const fixture = new QuarantineFixture();
    fixture.crash(["popular"]);
    const crashedMs = fixture.clock.nowMs();
    await fixture.clock.advance(CYCLE_MS);
    fixture.crash(["popular"], { sentMs: crashedMs - 1 });
    t.is(fixture.decision("popular"), "free");
});

test("many suspects of each crash are little evidence", async t => {
    const fixture = new QuarantineFixture();
    for (let round = 0; round < 3; round++) {
        for (let request = 0; request < 6; request++) {
            fixture.crash([`${request}`], { server: round });
        }
        await fixture.clock.advance(CYCLE_MS);
    }
    t.deepEqual(fixture.quarantine.parts, []);
});

test("an answer that is under way clears a part, and only its later crashes count", async t => {
    const fixture = new QuarantineFixture();
    fixture.crash(["part"]);
    await fixture.clock.advance(CYCLE_MS);
    fixture.quarantine.recordSound(["part"]);
    await fixture.clock.advance(1);
    for (let crash = 0; crash < 3; crash++) {
        t.is(fixture.decision("part"), "free");
        fixture.crash(["part"]);
        await fixture.clock.advance(CYCLE_MS);
    }
    t.is(fixture.decision("part"), "refused");
});

test("of several parts that are always together, a request with only some is sent", async t => {
    const fixture = new QuarantineFixture();
    await fixture.crashTwice("companion", "bad");
    t.is(fixture.decision("companion", "bad"), "refused");
    t.is(fixture.decision("companion"), "free");
    fixture.quarantine.recordSound(["companion"]);
    t.is(fixture.decision("bad"), "refused");
    t.is(fixture.decision("companion"), "free");
});

test("a part that most requests hold is never refused", async t => {
    const fixture = new QuarantineFixture();
    for (let request = 0; request < 100; request++) {
        fixture.quarantine.recordRequest(["common", `${request}`]);
    }
    await fixture.crashTwice("common");
    t.is(fixture.decision("common"), "free");
});

test("one request at a time finds out whether the part is sound again, later after each further crash", async t => {
    const fixture = new QuarantineFixture();
    await fixture.crashTwice("bad");
    await fixture.clock.advance(9 * MINUTE_MS);
    t.is(fixture.decision("bad"), "refused");
    await fixture.clock.advance(MINUTE_MS);
    t.is(fixture.decision("bad"), "trial");
    t.is(fixture.decision("bad"), "refused");
    fixture.crash(["bad"]);
    await fixture.clock.advance(39 * MINUTE_MS);
    t.is(fixture.decision("bad"), "refused");
    await fixture.clock.advance(2 * MINUTE_MS);
    t.is(fixture.decision("bad"), "trial");
    fixture.quarantine.recordSound(["bad"]);
    t.is(fixture.decision("bad"), "free");
});

test("another instance tries the part only if the one for it does not", async t => {
    const fixture = new QuarantineFixture();
    fixture.isTrialInstance = false;
    await fixture.crashTwice("bad");
    await fixture.clock.advance(10 * MINUTE_MS + 5_000);
    t.is(fixture.decision("bad"), "refused");
    await fixture.clock.advance(6_000);
    t.is(fixture.decision("bad"), "trial");
});

test("a part that was sound before, here or at another instance, takes three crashes", async t => {
    const own = new QuarantineFixture();
    own.quarantine.recordSound(["part"]);
    const other = new QuarantineFixture();
    await Promise.all([own, other].map(({ clock }) => clock.advance(CYCLE_MS)));
    for (let crash = 0; crash < 3; crash++) {
        other.crash(["part"]);
        own.quarantine.applyNews(other.quarantine.takeFresh());
        other.quarantine.applyNews(own.quarantine.takeFresh());
        const expected = crash === 2 ? "refused" : "free";
        t.is(own.decision("part"), expected, `${crash}`);
        t.is(other.decision("part"), expected, `${crash}`);
        await Promise.all([own, other].map(({ clock }) => clock.advance(CYCLE_MS)));
    }
});

test("requests that a crash takes along are sent on if their parts were sound and no earlier crash accuses them", async t => {
    const fixture = new QuarantineFixture();
    const { quarantine } = fixture;
    quarantine.recordSound(["common", "own"]);
    await fixture.clock.advance(CYCLE_MS);
    const nowMs = fixture.clock.nowMs();
    t.true(quarantine.areKnownSound(["common", "own"], nowMs));
    t.false(quarantine.areKnownSound(["common", "new"], nowMs));
    fixture.crash(["common", "other"]);
    t.true(quarantine.areKnownSound(["common", "own"], nowMs));
    await fixture.clock.advance(CYCLE_MS);
    t.false(quarantine.areKnownSound(["common", "own"], fixture.clock.nowMs()));
    quarantine.recordSound(["common"]);
    t.true(quarantine.areKnownSound(["common", "own"], fixture.clock.nowMs()));
});

test("an instance that is told all news reaches the same verdict, also in another order", async t => {
    const fixture = new QuarantineFixture();
    await fixture.crashTwice("companion", "bad");
    fixture.quarantine.recordSound(["companion"]);
    const news = fixture.quarantine.allNews();
    for (const crashes of [news.crashes, [...news.crashes].reverse()]) {
        const other = new QuarantineFixture();
        await other.clock.advance(50_000);
        other.quarantine.applyNews({ ...news, crashes });
        t.deepEqual(other.quarantine.parts, ["bad"]);
        other.quarantine.applyNews({ ...news, crashes });
        t.deepEqual(other.quarantine.parts, ["bad"]);
    }
});

test("invented parts without end take bounded memory, and leave verdicts in force", async t => {
    const fixture = new QuarantineFixture();
    await fixture.crashTwice("bad");
    await fixture.clock.advance(CYCLE_MS);
    for (let request = 0; request < 2_000; request++) {
        const parts = Array.from({ length: 31 }, (_, index) => `${request}-${index}`);
        fixture.quarantine.recordRequest(parts);
        fixture.crash(parts);
        fixture.quarantine.recordSound([`${request}`]);
    }
    t.true(fixture.quarantine.reportCount <= 128);
    t.is(fixture.decision("bad"), "refused");
    const datagrams = encodePeerNews({
        ...fixture.quarantine.allNews(),
        limits: new Map(),
        leaving: [],
    });
    t.true(datagrams.every(({ length }) => length <= 1_200));
});

test("the last part of a prompt is never accused, and long identifiers are shortened", t => {
    const partsOf = (header: string | undefined): readonly string[] =>
        sharedPromptParts({ headers: { [NAMES.promptParts]: header } } as never, NAMES);
    t.deepEqual(partsOf("5C1E:800, 91bd:410,e440:250"), ["5c1e", "91bd"]);
    t.deepEqual(partsOf("e440:250"), []);
    t.deepEqual(partsOf(undefined), []);
    t.deepEqual(partsOf(",:,;,a"), [";"]);
    t.is(partsOf(`${"f".repeat(5_000)}:1,a:1`)[0]?.length, 16);
    t.true(partsOf(Array.from({ length: 900 }, (_, index) => `${index}:1`).join(",")).length <= 32);
});

test("a request that another instance saw sound is not accused by an older crash that is heard of later", async t => {
    const fixture = new QuarantineFixture();
    const request = ":request";
    await fixture.clock.advance(CYCLE_MS);
    fixture.quarantine.applyNews({ crashes: [], soundSuspects: new Map([[request, 0]]) });
    fixture.crash([request], { crashedMs: 1_000, sentMs: 900, servedMs: 950 });
    t.is(fixture.quarantine.reportCount, 0);
});
