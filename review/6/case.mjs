// A replica says that it drains and is gone two seconds later, with streams under way whose answers end with their channel.
// Does a client take half a stream for all of it?
import { spawn } from "node:child_process";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import {
    conclude, configuration, entryProgram, eventually, hasTrouble, Record, ROOT, send, serverEntry, sleep, Store,
} from "../lib-2/harness.mjs";

const REPLICAS = 4;
/** A stream takes 3.5 s and has 69 events, as many as the longest of the site. */
const EVENTS = 69;
const GAP_MS = 50;
/** Time from the notice until the replica is gone: the variant `spot` of `scale_in`. */
const NOTICE_MS = 2000;
/** Time from then until another replica comes. */
const REPLACED_AFTER_MS = 4000;

const record = new Record(dirname(fileURLToPath(import.meta.url)));
const store = new Store();
let entry;
let beats;
let sequence = 0;

class Replica {
    runs = [];
    state = "ready";
    constructor(id) {
        this.id = id;
        this.child = spawn(process.execPath, [join(ROOT, "review/lib-2/draftServer.mjs"), id, String(EVENTS), String(GAP_MS)], {
            stdio: ["pipe", "pipe", "inherit"],
        });
        let text = "";
        this.ready = new Promise(resolve => this.child.stdout.on("data", chunk => {
            text += chunk;
            const lines = text.split("\n");
            text = lines.pop();
            for (const line of lines) {
                const [word, value, , from] = line.split(" ");
                if (word === "port") {
                    this.address = `127.0.0.1:${value}`;
                    resolve();
                }
                else {
                    this.runs.push(value);
                    record.line(`replica ${id} runs ${value} from event ${from}`);
                }
            }
        }));
    }
    beat() {
        if (this.state !== "gone" && this.address !== undefined) {
            store.put(`servers/${this.id}`, serverEntry("drafting", this.address, { state: this.state, sequence: ++sequence }));
        }
    }
}
const replicas = Array.from({ length: REPLICAS }, (_, index) => new Replica(`i-${index + 1}`));

/** Another replica, a new process with an identifier of its own, comes for one that has gone. */
const replace = async () => {
    const other = new Replica(`i-${replicas.length + 1}`);
    replicas.push(other);
    await other.ready;
    other.beat();
    record.say(`replica ${other.id} comes`);
};

const broken = [];
const draft = async () => {
    const answer = await send(entry.settings.listen_addresses.frontend_address, {
        path: "/draft/2f", body: "a long reply", budgetMs: 8000,
        headers: { "x-model": "m", "x-token-usage": "700,350", "x-prompt-prefix": "5c1e07a2:40,91bd3f06:660" },
    });
    const ids = [...answer.text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    const isInOrder = ids.every((id, index) => id === index + 1);
    const isCut = answer.status === 200 && answer.isComplete && ids.length < EVENTS;
    record.line(`client ${answer.id}: ${answer.status} ${answer.outcome}, ${ids.length} events`
        + `${isInOrder ? "" : ", not in order"}${isCut ? ", ENDS AS COMPLETE BEFORE ITS LAST PIECE" : ""}`);
    if (isCut || !isInOrder) {
        broken.push(answer.id);
    }
    return answer.status === 200 && answer.isComplete && ids.length === EVENTS;
};

await conclude(record, async () => {
    clearInterval(beats);
    await entry?.stop();
    replicas.forEach(({ child }) => child.kill("SIGKILL"));
    store.close();
}, async () => {
    await store.listen();
    for (const replica of replicas) {
        await replica.ready;
        replica.beat();
    }
    store.put("op/config", configuration(1));
    beats = setInterval(() => replicas.forEach(replica => replica.beat()), 1200);
    entry = await entryProgram({ store });
    entry.start();
    if (!await eventually(() => entry.isReady())) {
        return 2;
    }
    await sleep(1000);
    const answers = [];
    const traffic = setInterval(() => answers.push(draft()), 250);
    for (const leaver of replicas.slice(0, 2)) {
        await sleep(6000);
        if (hasTrouble) {
            record.say(`replica ${leaver.id} drains`);
            leaver.state = "draining";
            leaver.child.stdin.write("leave\n");
            leaver.beat();
            await sleep(NOTICE_MS);
            leaver.child.kill("SIGKILL");
            leaver.state = "gone";
            record.say(`replica ${leaver.id} is gone`);
            setTimeout(() => store.remove(`servers/${leaver.id}`), 3600);
            setTimeout(() => void replace(), REPLACED_AFTER_MS);
        }
        else {
            await sleep(NOTICE_MS);
        }
    }
    await sleep(4000);
    clearInterval(traffic);
    const whole = (await Promise.all(answers)).filter(Boolean).length;
    record.say(`${answers.length} streams, ${whole} whole, ${broken.length} that end as complete before their last piece`);
    return broken.length > 0 ? 1 : 0;
});
