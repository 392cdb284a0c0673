/**
 * Ways to serve that experiments compare: the project's own and the baselines.
 *
 * @packageDocumentation
 */

/** One way to serve. */
export interface Variant {
    /** Its name in results. */
    readonly name: string;
    /** Routing policy of the entries. */
    readonly policy: string;
    /** Whether the agents control admission. */
    readonly hasAdmissionControl: boolean;
}

/** The project's own way. */
export const MAIN_VARIANT: Variant = {
    name: "magnolialock",
    policy: "adaptive",
    hasAdmissionControl: true,
};

/** What it is measured against. */
export const BASELINE_VARIANTS: readonly Variant[] = [
    { name: "random", policy: "random", hasAdmissionControl: true },
    { name: "round-robin", policy: "round-robin", hasAdmissionControl: true },
    { name: "least-outstanding", policy: "least-outstanding", hasAdmissionControl: true },
    { name: "no-admission-control", policy: "adaptive", hasAdmissionControl: false },
];
