import { createRandomSource } from "@magnolialock/kernel";
import test from "ava";
import type { ServiceSpec } from "../../../types/publishedState.ts";
import {
    configuration,
    DirectFixture,
    DRAFTS,
    NAMES,
    ORDERS,
    serviceSpec,
} from "../../__tests__/directFixture.ts";
import { placementLoad } from "../placementLoad.ts";
import { promptTokens } from "../promptTokens.ts";
import { spreadStart } from "../spreadStarts.ts";
import { HIMAL } from "./fakeDeployments.ts";

const { timing } = HIMAL;
const USAGE = NAMES.tokenUsage;
const PARTS = NAMES.promptParts;

const createFixture = (engine: ServiceSpec["engine"]): DirectFixture => {
    const fixture = new DirectFixture(
        configuration({ services: [serviceSpec(ORDERS), serviceSpec(DRAFTS, { engine })] }),
    );
    fixture.addServers(DRAFTS, "a", "bb");
    for (const server of fixture.directory.all()) {
        server.groupName = "left";
    }
    return fixture;
};

const unreadOf = (fixture: DirectFixture): number =>
    [...fixture.directory.all()].reduce((sum, server) => sum + server.unreadPromptTokens, 0);

test("the length of a prompt is what the caller declares, else the sum of its parts, else the usual one", t => {
    const read = (headers: Record<string, string>): number => promptTokens(headers, NAMES, timing).tokens;
    t.is(read({ [USAGE]: "1460,80", [PARTS]: "a:10,b:20" }), 1_460);
    t.is(read({ [PARTS]: "a:10,b:20" }), 30);
    t.is(read({}), timing.usualPromptTokens);
    t.is(read({ [PARTS]: "a:10,b" }), timing.usualPromptTokens);
});

test("token counts that cannot be read are ignored, and a length beyond the engine's memory is bounded", t => {
    for (const text of ["", ",", "x,1", "-5,1", "12", "1,2,3", "1e9,1", "12345678901,1", "NaN,1", "0x10,1"]) {
        const { tokens, unreadableHeader } = promptTokens({ [USAGE]: text, [PARTS]: "a:10" }, NAMES, timing);
        t.is(tokens, 10, text);
        t.is(unreadableHeader, USAGE, text);
    }
    t.is(promptTokens({ [USAGE]: "999999999,1" }, NAMES, timing).tokens, timing.memoryTokens);
    t.is(promptTokens({ [USAGE]: "0,1" }, NAMES, timing).tokens, 1);
});

test("a declared length, however large, adds the load of a few requests at most", t => {
    const honest = placementLoad({ running: 3, unreadPromptTokens: 2_900 }, 7, timing);
    const wrong = placementLoad({ running: 3, unreadPromptTokens: 50 * timing.memoryTokens }, 7, timing);
    t.true(honest > -4 && wrong <= 4, `${honest} ${wrong}`);
});

test("a single request goes to the least loaded server; many fill the servers to an equal level", t => {
    const random = createRandomSource(1);
    const loads = [5, 1, 3, 3, 9];
    for (let draw = 0; draw < 50; draw++) {
        t.is(spreadStart(loads, 0, random), 1);
    }
    const counts = [0, 0, 0, 0, 0];
    for (let draw = 0; draw < 7_000; draw++) {
        counts[spreadStart(loads, 7, random)!]!++;
    }
    // Eight requests fill the servers to a level of 5: four, two and two requests.
    t.deepEqual(counts.map(count => Math.round(count / 7_000 * 8)), [0, 4, 2, 2, 0]);
    t.is(spreadStart([], 3, random), undefined);
});

test.serial("a prompt is unread until the first event, and one that is refused or broken off is no longer", async t => {
    const fixture = createFixture({ experts: undefined, timing });
    const first = fixture.send("draft", { [USAGE]: "1460,80" });
    const attempt = await fixture.latestAttempt();
    t.is(unreadOf(fixture), 1_460);
    attempt.startStream();
    t.is(unreadOf(fixture), 1_460, "the head alone does not tell that the prompt was read");
    attempt.sendEvents(1, 1);
    t.is(unreadOf(fixture), 0);
    attempt.complete();
    await fixture.runUntilSettled(first.done);
    const second = fixture.send("draft", { [USAGE]: "900,80" });
    (await fixture.latestAttempt()).breakConnection();
    const repeat = await fixture.latestAttempt();
    t.is(unreadOf(fixture), 900);
    repeat.startStream().sendEvents(1, 2).complete();
    await fixture.runUntilSettled(second.done);
    t.is(unreadOf(fixture), 0);
});

test.serial("a prompt goes to a server that reads none, although that one runs more requests", async t => {
    const fixture = createFixture({ experts: undefined, timing });
    const [reading, busy] = [...fixture.directory.all()];
    reading!.unreadPromptTokens = 2_900;
    busy!.peerRunning = 2;
    for (let request = 0; request < 3; request++) {
        const { done } = fixture.send("draft", { [USAGE]: "60,80" });
        const attempt = await fixture.latestAttempt();
        t.is(attempt.server, busy!.entry.id);
        attempt.startStream().sendEvents(1, 2).complete();
        await fixture.runUntilSettled(done);
    }
});

test.serial("pauses between events over the target reduce the servable requests, and without timing never", async t => {
    for (const [engineTiming, isReduced] of [[timing, true], [undefined, false]] as const) {
        const fixture = createFixture({ experts: undefined, timing: engineTiming });
        for (const server of fixture.directory.all()) {
            server.peerRunning = 6;
        }
        const { done } = fixture.send("draft", { [USAGE]: "60,80" });
        const attempt = await fixture.latestAttempt();
        attempt.startStream();
        for (let event = 1; event <= 30; event++) {
            attempt.sendEvents(event, event);
            await fixture.clock.advance(130);
        }
        const servable = fixture.context.servableRequests(DRAFTS);
        t.is(servable < 16, isReduced, `${servable} of 16 slots`);
        t.is(unreadOf(fixture), 0);
        attempt.complete();
        await fixture.runUntilSettled(done);
    }
});
