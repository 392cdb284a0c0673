import type { StoreCopy } from "@magnolialock/test-support";
import test from "ava";
import { PublishedFleet } from "./publishedFleet.ts";

/** Seeds of the short run; `RESTORE_SOAK_SEEDS` sets another number for a long run by hand. */
const SEEDS = Number(process.env["RESTORE_SOAK_SEEDS"] ?? 12);
/** Seeds that failed: a data centre was put back between the return of the store and the read of an instance. */
const REGRESSION_SEEDS: readonly number[] = [197, 225, 290, 350, 373];
const INSTANCES = 7;
const STEPS = 30;
/** Time after which all instances must agree once nothing disturbs them, in milliseconds. */
const SETTLE_MS = 8_000;
/** Oldest copy that the store returns from, in milliseconds. */
const MAX_COPY_AGE_MS = 12_000;

/** Random writes, returns of the store, and disturbances of instances, in series and at the same time. */
class RestoreSoak {
    private version = 1;
    private nextServer = 100;
    private readonly ready: string[] = [];
    private readonly draining: string[] = [];
    private readonly copies: { readonly atMs: number; readonly copy: StoreCopy; }[] = [];
    private readonly isolated = new Set<number>();
    private readonly pending: Promise<void>[] = [];

    public constructor(private readonly fleet: PublishedFleet) {
        fleet.isCut = (from, to) => this.isolated.has(from) || this.isolated.has(to);
    }

    public async run(): Promise<void> {
        const { fleet } = this;
        await fleet.clock.advance(4_000);
        for (let step = 0; step < STEPS; step++) {
            this.copies.push({ atMs: fleet.clock.nowMs(), copy: fleet.platform.copy() });
            await this.step();
            await fleet.advance(fleet.random.nextInt(100, 2_500));
        }
        await fleet.advance(6_500);
        await Promise.all(this.pending);
        fleet.rewriteOperatorItems();
        await fleet.advance(SETTLE_MS);
    }

    /** What an instance must know in the end. */
    public get expected(): { readonly version: number; readonly servers: string; readonly out: string; } {
        const { out } = this.fleet;
        const servers = this.ready.filter(id => !out.has(this.fleet.dataCentreOf(Number(id.split("-")[1]))));
        return { version: this.version, servers: servers.sort().join(), out: [...out].sort().join() };
    }

    private async step(): Promise<void> {
        const { fleet } = this;
        const steps: readonly (() => void | Promise<void>)[] = [
            () => fleet.writeConfiguration(++this.version),
            () => this.addServer(),
            () => this.drainServer(),
            () => this.removeServer(),
            () => this.crashServer(),
            () => this.toggleDataCentre(),
            () => this.restoreStore(),
            () => this.restoreStore(),
            () => void fleet.startInstance(this.drawInstance()),
            () => this.disturb("freeze"),
            () => this.disturb("turn away"),
            () => this.disturb("isolate"),
        ];
        await steps[fleet.random.nextInt(0, steps.length - 1)]?.();
    }

    private addServer(): void {
        const id = `server-${this.nextServer++}`;
        this.ready.push(id);
        this.fleet.addServer(id);
    }

    private drainServer(): void {
        const id = this.ready.shift();
        if (id !== undefined) {
            this.draining.push(id);
            this.fleet.drainServer(id);
        }
    }

    private removeServer(): void {
        const id = this.draining.shift();
        if (id !== undefined) {
            this.fleet.removeServer(id);
        }
    }

    private crashServer(): void {
        const id = this.ready.shift();
        if (id !== undefined) {
            this.fleet.crashServer(id);
        }
    }

    private toggleDataCentre(): void {
        const { fleet } = this;
        const dataCentre = `centre-${fleet.random.nextInt(0, 2)}`;
        fleet.setOut(dataCentre, !fleet.out.has(dataCentre));
    }

    private async restoreStore(): Promise<void> {
        const { fleet } = this;
        const recent = this.copies.filter(({ atMs }) => fleet.clock.nowMs() - atMs <= MAX_COPY_AGE_MS);
        const chosen = recent[fleet.random.nextInt(0, Math.max(0, recent.length - 1))];
        if (chosen) {
            // Later copies belong to the life of the store that is lost.
            this.copies.splice(this.copies.indexOf(chosen) + 1);
            await fleet.restoreStore(chosen.copy, fleet.random.nextInt(100, 2_500));
            if (fleet.random.nextFloat() < 0.7) {
                await fleet.advance(fleet.random.nextInt(100, 3_000));
                fleet.rewriteOperatorItems();
            }
        }
    }

    private disturb(kind: "freeze" | "turn away" | "isolate"): void {
        const { fleet } = this;
        const index = this.drawInstance();
        const instance = fleet.instances[index];
        if (!instance || this.isolated.has(index)) {
            return;
        }
        if (kind === "freeze") {
            instance.clock.pause();
        }
        else {
            instance.isStoreReachable = false;
            if (kind === "isolate") {
                this.isolated.add(index);
            }
        }
        const heal = async (): Promise<void> => {
            await fleet.pause(fleet.random.nextInt(500, 6_000));
            this.isolated.delete(index);
            instance.isStoreReachable = true;
            instance.clock.resume();
        };
        this.pending.push(heal());
    }

    private drawInstance(): number {
        return this.fleet.random.nextInt(0, INSTANCES - 1);
    }
}

const seeds = Array.from({ length: SEEDS }, (_, index) => index + 1);

for (const seed of new Set([...seeds, ...REGRESSION_SEEDS])) {
    test.serial(`instances agree with the operator and the servers after returns of the store, seed ${seed}`, async t => {
        using fleet = new PublishedFleet({ instances: INSTANCES, servers: 0, dataCentres: 3, seed });
        const soak = new RestoreSoak(fleet);
        await soak.run();
        const known = fleet.instances.map(({ servers, store, version }) => ({
            version,
            servers: servers.join(),
            out: [...store.outDataCentres()].sort().join(),
        }));
        t.deepEqual(known, known.map(() => soak.expected));
        t.deepEqual([...fleet.violations], []);
    });
}
