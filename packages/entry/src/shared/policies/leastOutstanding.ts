/**
 * Baseline policy `least-outstanding`.
 *
 * @packageDocumentation
 */

import { shuffled } from "@magnolialock/kernel";
import { routingPolicies } from "../routingPolicy.ts";

/** Chooses the candidate with the fewest calls in flight from this entry; breaks ties at random. */
export const leastOutstandingPolicy = routingPolicies.register({
    name: "least-outstanding",
    create: () => ({
        name: "least-outstanding",
        choose: (candidates, { random }) =>
            shuffled(random, candidates).reduce((best, peer) =>
                peer.ownInFlight < best.ownInFlight ? peer : best
            ),
    }),
});
