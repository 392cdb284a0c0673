import { type AnswerEvent, listenHttp } from "@magnolialock/entry";
import { type Address, createSystemClock } from "@magnolialock/kernel";
import { freeAddress } from "@magnolialock/test-support";
import test from "ava";
import { connect } from "node:net";
import { type Answer, createTestApp, KEY } from "./stubEntry.ts";

const clock = createSystemClock();
/** Time after which a connection that the entry leaves open is closed, in milliseconds. */
const MAX_WAIT_MS = 1_500;

/** Time between two events of an answer. */
type Gap = "none" | "microtasks" | "turn" | "pause";

const PAUSE_MS = 15;
const MICROTASKS = 6;

const waitFor = async (gap: Gap): Promise<void> => {
    switch (gap) {
        case "none":
            return;
        case "microtasks":
            for (let count = 0; count < MICROTASKS; count++) {
                await undefined;
            }
            return;
        case "turn":
            await new Promise(setImmediate);
            return;
        case "pause":
            await new Promise(resolve => clock.setTimer(PAUSE_MS, () => resolve(undefined)));
            return;
    }
};

const HEAD: AnswerEvent = { kind: "head", status: 200, headers: [["content-type", "application/json"]] };
const FAILED: AnswerEvent = {
    kind: "failed",
    failure: { code: "broken", ran: "outcome unknown", message: "gone" },
};

const brokenAnswer = (sizes: readonly number[], gap: Gap, lastGap: Gap): Answer => async consume => {
    consume(HEAD);
    for (const size of sizes) {
        await waitFor(gap);
        consume({ kind: "body", bytes: Buffer.alloc(size, "x") });
    }
    await waitFor(lastGap);
    consume(FAILED);
};

type Version = "1.0" | "1.1";

/** Sends a request as a caller does and tells how its answer looks. */
const ask = async (address: Address, version: Version): Promise<"complete" | "broken" | "left open"> => {
    const [host, port] = address.split(":");
    const socket = connect(Number(port), host);
    let text = "";
    let isReset = false;
    let isOpen = false;
    socket.on("data", bytes => text += bytes.toString("latin1"));
    socket.on("error", () => isReset = true);
    socket.setTimeout(MAX_WAIT_MS, () => {
        isOpen = true;
        socket.destroy();
    });
    socket.write(
        `GET /painel/status HTTP/${version}\r\nhost: painel\r\nconnection: close\r\nauthorization: Bearer ${KEY}\r\n\r\n`,
    );
    await new Promise(resolve => socket.once("close", resolve));
    if (isOpen) {
        return "left open";
    }
    // The operating system closes the connections of a killed process, so a close shows nothing.
    const length = /^content-length: (\d+)\r$/im.exec(text)?.[1];
    const isEnded = length === undefined
        ? /^transfer-encoding: chunked\r$/im.test(text) && text.endsWith("\r\n0\r\n\r\n")
        : text.length - text.indexOf("\r\n\r\n") - 4 === Number(length);
    const isWhole = /^HTTP\/1\.1 200 /.test(text) && isEnded && !isReset;
    return isWhole ? "complete" : "broken";
};

/** Serves each answer over a real socket; returns those that look complete to the caller, or never end. */
const askAll = async (answers: ReadonlyMap<string, Answer>, version: Version = "1.1"): Promise<string[]> => {
    let answer: Answer = async () => {};
    const { app } = createTestApp(consume => answer(consume));
    const address = await freeAddress();
    await using _server = await listenHttp({ app, address, protocol: "http1" });
    const complete: string[] = [];
    for (const [name, next] of answers) {
        answer = next;
        const outcome = await ask(address, version);
        if (outcome !== "broken") {
            complete.push(outcome === "complete" ? name : `${name}: ${outcome}`);
        }
    }
    return complete;
};

const GAPS: readonly Gap[] = ["none", "microtasks", "turn", "pause"];

for (const sizes of [[], [5], [20_000], [5, 5, 20_000], [300_000, 300_000]]) {
    test.serial(`a plain answer of ${sizes.join(" + ")} bytes that fails then does not look complete`, async t => {
        const answers = GAPS.flatMap(gap =>
            GAPS.map(lastGap => [`${gap}, ${lastGap}`, brokenAnswer(sizes, gap, lastGap)] as const)
        );
        t.deepEqual(await askAll(new Map(answers)), []);
    });
}

test.serial("a plain answer that fails does not look complete to a caller without chunks", async t => {
    const answers = [[5], [20_000], [5, 5, 20_000]].flatMap(sizes =>
        GAPS.map(lastGap =>
            [`${sizes.join(" + ")}, ${lastGap}`, brokenAnswer(sizes, "pause", lastGap)] as const
        )
    );
    t.deepEqual(await askAll(new Map(answers), "1.0"), []);
});

test.serial("a plain answer that ends is complete", async t => {
    const whole: Answer = async consume => {
        consume(HEAD);
        consume({ kind: "body", bytes: Buffer.alloc(20_000, "x") });
        consume({ kind: "end", finishReason: "" });
    };
    t.deepEqual(await askAll(new Map([["whole", whole]])), ["whole"]);
    t.deepEqual(await askAll(new Map([["whole", whole]]), "1.0"), ["whole"]);
});
