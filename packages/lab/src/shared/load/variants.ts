/**
 * Serving variants that experiments compare: the project's default and the baselines.
 *
 * @packageDocumentation
 */

/** Routing policy and admission control of a fleet under test. */
export interface Variant {
    /** Name of the variant in results. */
    readonly name: string;
    /** Routing policy of the entries. */
    readonly policy: string;
    /** Whether the agents apply admission control. */
    readonly hasAdmissionControl: boolean;
}

/** Default variant of the project. */
export const MAIN_VARIANT: Variant = {
    name: "magnolialock",
    policy: "adaptive",
    hasAdmissionControl: true,
};

/** Variants that the default is compared with. */
export const BASELINE_VARIANTS: readonly Variant[] = [
    { name: "random", policy: "random", hasAdmissionControl: true },
    { name: "round-robin", policy: "round-robin", hasAdmissionControl: true },
    { name: "least-outstanding", policy: "least-outstanding", hasAdmissionControl: true },
    { name: "no-admission-control", policy: "adaptive", hasAdmissionControl: false },
];
