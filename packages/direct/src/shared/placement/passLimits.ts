/**
 * Selects the limits of the pass budget of a service from the configuration.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import type { FleetConfiguration } from "../../types/publishedState.ts";
import type { PassLimits } from "./passBudget.ts";

/**
 * Returns the limits of a service: the timing of its engine and the shortest gap target of its routes, since all streams
 * of a group have the same passes.
 *
 * @param configuration - configuration in force
 * @param service - the service
 * @returns the limits; undefined if the configuration lacks the timing or a target
 */
export const passLimitsOf = (
    { routes, services }: FleetConfiguration,
    service: ServiceName,
): PassLimits | undefined => {
    const timing = services.find(({ name }) => name === service)?.engine?.timing;
    const targetsMs = routes.flatMap(({ targetGapMs, targets }) =>
        targetGapMs && targets.some(target => target.service === service && target.weight > 0)
            ? [targetGapMs]
            : []
    );
    return timing && targetsMs.length > 0 ? { timing, targetGapMs: Math.min(...targetsMs) } : undefined;
};

/** Limits of one service, computed anew when the configuration changes. */
export class CurrentPassLimits {
    private configuration: FleetConfiguration | undefined;
    private limits: PassLimits | undefined;

    /** @param service - the service */
    public constructor(private readonly service: ServiceName) {}

    /**
     * Returns the limits.
     *
     * @param configuration - configuration in force; undefined before the first
     */
    public of(configuration: FleetConfiguration | undefined): PassLimits | undefined {
        if (configuration !== this.configuration) {
            this.configuration = configuration;
            this.limits = configuration && passLimitsOf(configuration, this.service);
        }
        return this.limits;
    }
}
