/**
 * Baseline policy `least-outstanding`.
 *
 * @packageDocumentation
 */

import { shuffled } from "@magnolialock/kernel";
import { routingPolicies } from "../routingPolicy.ts";

/** Chooses the candidate with the fewest calls of this entry. */
export const leastOutstandingPolicy = routingPolicies.register({
    name: "least-outstanding",
    create: () => ({
        name: "least-outstanding",
        choose: (candidates, { random }) =>
            shuffled(random, candidates).reduce((best, peer) =>
                peer.ownRunning < best.ownRunning ? peer : best
            ),
    }),
});
