import { Code, ConnectError, createClient } from "@connectrpc/connect";
import { type Address, bindService, branded, createRandomSource } from "@magnolialock/kernel";
import { ControlService } from "@magnolialock/protocol";
import test from "ava";
import { LinkTable } from "../link.ts";
import { VirtualClock } from "../virtualClock.ts";
import { VirtualNetwork } from "../virtualNetwork.ts";
import { createVirtualRuntime } from "../virtualRuntime.ts";

const createPair = () => {
    const clock = new VirtualClock();
    const random = createRandomSource(1);
    const network = new VirtualNetwork({ clock, links: new LinkTable({ random }) });
    const server = createVirtualRuntime({ name: "server", dataCentre: "recife", network, random });
    const client = createVirtualRuntime({ name: "client", dataCentre: "natal", network, random });
    const address = branded<Address>("10.0.0.1:7000");
    return { clock, network, server, client, address };
};

const controlBinding = bindService(ControlService, {
    getConfiguration: () => ({ payload: Uint8Array.of(9) }),
});

test("a call takes the delay of the link in virtual time", async t => {
    const { clock, server, client, address } = createPair();
    await server.network.listen(address, [controlBinding]);
    const control = createClient(ControlService, client.network.transportTo(address));
    const response = await clock.runUntilSettled(control.getConfiguration({}), 1_000);
    t.deepEqual([...response.payload], [9]);
    t.true(clock.nowMs() >= 2 && clock.nowMs() <= 3);
});

test("a call to an address without a listener fails as unavailable", async t => {
    const { clock, client, address } = createPair();
    const control = createClient(ControlService, client.network.transportTo(address));
    const error = await t.throwsAsync(clock.runUntilSettled(control.getConfiguration({}), 1_000));
    t.is(ConnectError.from(error).code, Code.Unavailable);
});

test("a call over a cut link fails after the connection timeout", async t => {
    const { clock, network, server, client, address } = createPair();
    await server.network.listen(address, [controlBinding]);
    network.links.cut(endpoint => endpoint.name === "server", () => true);
    const control = createClient(ControlService, client.network.transportTo(address));
    await t.throwsAsync(clock.runUntilSettled(control.getConfiguration({}), 10_000));
    t.true(clock.nowMs() >= 3_000);
});

test("a paused process answers after it is resumed", async t => {
    const { clock, server, client, address } = createPair();
    await server.network.listen(address, [controlBinding]);
    server.process.pause();
    clock.setTimer(5_000, () => server.process.resume());
    const control = createClient(ControlService, client.network.transportTo(address));
    await clock.runUntilSettled(control.getConfiguration({}), 10_000);
    t.true(clock.nowMs() >= 5_000);
});
