/**
 * Lookup of the call rule for a request.
 *
 * @packageDocumentation
 */

import type { ServiceName } from "@magnolialock/kernel";
import type { CallRule, RuleSet } from "../types/ruleSet.ts";

const SAFE_METHODS: readonly string[] = ["GET", "HEAD"];

const isPathMatch = (pattern: string, path: string): boolean =>
    pattern.endsWith("*") ? path.startsWith(pattern.slice(0, -1)) : pattern === path;

/**
 * Finds the rule that applies to a call. A call that no rule matches is repeatable only if its service is a
 * model or its method is safe.
 *
 * @param rules - current rules
 * @param service - service of the call
 * @param method - HTTP method
 * @param path - path below the service, without query
 * @returns the first matching rule, or the default
 */
export const findCallRule = (
    rules: RuleSet,
    service: ServiceName,
    method: string,
    path: string,
): CallRule => {
    const rule = rules.calls.find(candidate =>
        candidate.service === service && candidate.method === method && isPathMatch(candidate.path, path)
    );
    const isModel = rules.services.get(service)?.kind === "model";
    return rule ?? {
        service,
        method,
        path,
        priority: "interactive",
        isRepeatable: isModel || SAFE_METHODS.includes(method),
    };
};
