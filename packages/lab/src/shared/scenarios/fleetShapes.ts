/**
 * Fleets that a scenario can choose by name.
 *
 * @packageDocumentation
 */

import { type FleetShape, LETREIRO_SHAPE } from "../fleet/fleetRules.ts";

const cubewright: FleetShape = {
    ...LETREIRO_SHAPE,
    dataCentres: ["leith", "paisley", "falkirk"],
    modelService: "drafting",
    plainService: "orders",
};

const small: FleetShape = {
    ...LETREIRO_SHAPE,
    entriesPerDataCentre: 1,
    modelReplicas: 6,
    plainReplicas: 3,
    plainServiceMs: 150,
    modelLimits: { cold: 1, warm: 4 },
    plainLimits: { cold: 1, warm: 4 },
};

/** Sizes of the fleets, by name. */
export const fleetShapes: Readonly<Record<string, FleetShape>> = {
    letreiro: LETREIRO_SHAPE,
    cubewright,
    small,
};

/** Name of the fleet of a scenario that chooses none. */
export const DEFAULT_FLEET = "small";
