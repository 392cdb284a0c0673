import {
    type Address,
    branded,
    createRandomSource,
    type DataCentreId,
    type InstanceId,
    type Revision,
    type StoreEra,
} from "@magnolialock/kernel";
import test from "ava";
import type { DirectSettings } from "../../types/directSettings.ts";
import type { PublishedState } from "../../types/publishedState.ts";
import { PeerExchange } from "../peerExchange.ts";
import { encodePeerReport, reportKey } from "../peerReport.ts";
import { DirectFixture, NO_STORE_WATCH, ORDERS } from "./directFixture.ts";

const addressOf = (index: number): Address =>
    branded<Address>(`10.9.${Math.floor(index / 200)}.${index % 200 + 1}:7340`);

const stateAt = (revision: number): PublishedState => ({
    era: branded<StoreEra>(0),
    revision: branded<Revision>(revision),
    items: [],
    removed: [],
    missing: [],
    history: [],
    revisionBeforeReturn: branded<Revision>(0),
    ageMs: 0,
    leaving: [],
});

/** A peer exchange whose datagrams are counted instead of sent. */
class ExchangeFixture {
    public readonly direct = new DirectFixture();
    public readonly exchange: PeerExchange;
    public sentBytes = 0;
    public readonly receivers = new Map<Address, number>();
    public fetches = 0;
    public state: PublishedState | undefined;

    public constructor(seeds: readonly Address[] = []) {
        const { clock, context, directory, events, store } = this.direct;
        const settings: DirectSettings = { ...context.options.settings, seeds };
        this.exchange = new PeerExchange({
            runtime: { clock, events, random: createRandomSource(1) },
            settings,
            store,
            directory,
            services: () => context.serviceStates(),
            news: context.news,
            fetchState: async () => {
                this.fetches++;
                return this.state ?? stateAt(0);
            },
            onFetched: () => {},
            storeWatch: NO_STORE_WATCH,
        });
        void this.exchange.run({
            send: (to, bytes) => {
                this.sentBytes += bytes.length;
                this.receivers.set(to, (this.receivers.get(to) ?? 0) + 1);
            },
            [Symbol.asyncDispose]: async () => {},
        });
    }

    public receiveReport(
        index: number,
        changes: {
            readonly revision?: number;
            readonly dataCentre?: string;
            readonly running?: ReadonlyMap<number, number>;
        } = {},
    ): void {
        this.exchange.receive(
            addressOf(index),
            encodePeerReport({
                instance: branded<InstanceId>(`entry-${index}`),
                incarnation: branded("life"),
                dataCentre: branded<DataCentreId>(changes.dataCentre ?? "here"),
                era: branded<StoreEra>(0),
                revision: branded<Revision>(changes.revision ?? 1),
                revisionBeforeReturn: branded<Revision>(0),
                configurationVersion: 0,
                stateAgeMs: 0,
                running: changes.running ?? new Map(),
                groupUpMs: new Map(),
                members: [],
                heardInstances: 1,
            }),
        );
    }
}

test.serial("shares of limits are sized by the largest fleet that may be alive", async t => {
    const fixture = new ExchangeFixture();
    t.is(fixture.exchange.fleet.size, 8);
    for (let index = 0; index < 20; index++) {
        fixture.receiveReport(index);
    }
    t.is(fixture.exchange.fleet.size, 21);
    await fixture.direct.clock.advance(30_000);
    t.is(fixture.exchange.aliveCount, 0);
    t.is(fixture.exchange.fleet.size, 21);
    await fixture.direct.clock.advance(40_000);
    t.is(fixture.exchange.fleet.size, 8);
});

test.serial("reports are sent to seeds until they answer", async t => {
    const fixture = new ExchangeFixture([addressOf(1), addressOf(2)]);
    await fixture.direct.clock.advance(3_000);
    t.true((fixture.receivers.get(addressOf(1)) ?? 0) >= 2);
});

test.serial("the load reported by another instance counts until that instance is lost", async t => {
    const fixture = new ExchangeFixture();
    fixture.direct.addServers(ORDERS, "a");
    fixture.receiveReport(1, { running: new Map([[reportKey("a"), 3]]) });
    await fixture.direct.clock.advance(300);
    const [server] = [...fixture.direct.directory.all()];
    t.is(server?.running, 3);
    await fixture.direct.clock.advance(6_000);
    t.is(server?.running, 0);
});

test.serial("an instance without updates from the platform fetches the state of one ahead", async t => {
    const fixture = new ExchangeFixture();
    fixture.state = stateAt(90);
    fixture.receiveReport(1, { revision: 90 });
    await fixture.direct.clock.advance(300);
    t.is(fixture.fetches, 0);
    await fixture.direct.clock.advance(700);
    t.is(Number(fixture.direct.store.revision), 90);
    fixture.receiveReport(2, { revision: 50 });
    await fixture.direct.clock.advance(1_000);
    t.is(Number(fixture.direct.store.revision), 90);
});

test.serial("reports of 400 instances in 11 data centres stay within 10 KB per second", async t => {
    const fixture = new ExchangeFixture();
    fixture.direct.addServers(ORDERS, ...Array.from({ length: 55 }, (_, index) => `server-${index}`));
    for (const { health } of fixture.direct.directory.all()) {
        health.begin();
    }
    const receiveAllReports = (): void => {
        for (let index = 0; index < 399; index++) {
            fixture.receiveReport(index, { dataCentre: index < 36 ? "here" : `centre-${index % 10}` });
        }
    };
    for (let second = 0; second < 60; second++) {
        receiveAllReports();
        await fixture.direct.clock.advance(1_000);
    }
    fixture.sentBytes = 0;
    for (let second = 0; second < 60; second++) {
        receiveAllReports();
        await fixture.direct.clock.advance(1_000);
    }
    t.true(fixture.sentBytes / 60 <= 10_000, `${fixture.sentBytes / 60} bytes a second`);
    t.true(fixture.sentBytes > 0);
});

test.serial("datagrams that are not reports are ignored", t => {
    const fixture = new ExchangeFixture();
    for (const text of ["", "{}", "[1]", '[2,"a","b","c",1]', "\u0000\u0001"]) {
        fixture.exchange.receive(addressOf(1), Buffer.from(text));
    }
    t.is(fixture.exchange.aliveCount, 0);
});
