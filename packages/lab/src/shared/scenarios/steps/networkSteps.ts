/**
 * Steps that inject faults into the network and end them.
 *
 * @packageDocumentation
 */

import type { EndpointInfo, EndpointSelector } from "@magnolialock/test-support";
import { createAnswerMisrouter } from "../answerMisrouter.ts";
import { defineStep } from "../step.ts";

const PERCENT = 100;

const inDataCentre = (dataCentre: string): EndpointSelector => (endpoint: EndpointInfo) =>
    endpoint.dataCentre === dataCentre;
const notInDataCentre = (dataCentre: string): EndpointSelector => (endpoint: EndpointInfo) =>
    endpoint.dataCentre !== dataCentre;

defineStep(
    "cut data centre <dataCentre> off",
    "Cuts the links between the data centre and all others, in both directions.",
    {
        kind: "action",
        run: (world, { dataCentre }) =>
            world.addCut(world.fleet.links.cut(inDataCentre(dataCentre), notInDataCentre(dataCentre))),
    },
);

defineStep(
    "cut the way from <dataCentre> to <otherDataCentre>",
    "Cuts the links from the first data centre to the second, in this direction only.",
    {
        kind: "action",
        run: (world, { dataCentre, otherDataCentre }) =>
            world.addCut(
                world.fleet.links.cutOneWay(inDataCentre(dataCentre), inDataCentre(otherDataCentre)),
            ),
    },
);

defineStep(
    "cut server <server> off",
    "Cuts the links between the agent of the backend server and all other processes.",
    {
        kind: "action",
        run: (world, { server }) =>
            world.addCut(
                world.fleet.links.cut(
                    ({ name }) => name === `agent-${server}`,
                    ({ name }) => name !== `agent-${server}`,
                ),
            ),
    },
);

defineStep(
    "cut answers of server <server> off",
    "Cuts the links from the agent of the backend server to all other processes, in this direction only.",
    {
        kind: "action",
        run: (world, { server }) =>
            world.addCut(world.fleet.links.cutOneWay(({ name }) => name === `agent-${server}`, () => true)),
    },
);

defineStep("heal the network", "Restores all links that are cut.", {
    kind: "action",
    run: world => world.healNetwork(),
});

defineStep("lose <percent> percent of datagrams", "Sets the percentage of datagrams that are lost.", {
    kind: "action",
    run: (world, { percent }) => {
        const quality = { lossProbability: percent / PERCENT };
        world.fleet.links.setQuality({ local: quality, remote: quality });
    },
});

defineStep("repeat <percent> percent of datagrams", "Sets the percentage of datagrams that arrive twice.", {
    kind: "action",
    run: (world, { percent }) => {
        const quality = { duplicateProbability: percent / PERCENT };
        world.fleet.links.setQuality({ local: quality, remote: quality });
    },
});

defineStep(
    "cross <percent> percent of answers",
    "Sets the probability that an event of another answer is inserted before an event of an answer.",
    {
        kind: "action",
        run: (world, { percent }) => {
            world.fleet.network.interceptResponse = createAnswerMisrouter(
                world.fleet.random.fork("crossed answers"),
                percent / PERCENT,
            );
        },
    },
);
